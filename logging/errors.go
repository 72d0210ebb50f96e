package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// messageOnlyErrors is a core that writes errors as their message alone. The errors of
// this project carry stack traces, which zap would add to every line that names
// one: a warning that repeats each second would fill the log with them.
type messageOnlyErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c messageOnlyErrors) With(fields []zap.Field) zapcore.Core {
	return messageOnlyErrors{c.Core.With(errorsAsMessages(fields))}
}

// Check implements zapcore.Core.
func (c messageOnlyErrors) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core.
func (c messageOnlyErrors) Write(e zapcore.Entry, fields []zap.Field) error {
	return c.Core.Write(e, errorsAsMessages(fields))
}

func errorsAsMessages(fields []zap.Field) []zap.Field {
	for i, f := range fields {
		if f.Type != zapcore.ErrorType {
			continue
		}
		if err, ok := f.Interface.(error); ok {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}
