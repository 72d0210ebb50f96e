package logging

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Debug lines with the same message: the first debugFirst in each debugSampleInterval are
// written, then every debugThereafter-th.
const (
	debugSampleInterval = time.Second
	debugFirst          = 50
	debugThereafter     = 100
)

// sampledDebug is a core that bounds the rate of debug lines alone. Lines of the
// levels above, decisions among them, are all written: each has to be found again.
type sampledDebug struct {
	zapcore.Core
	debug zapcore.Core
}

func newSampledDebug(c zapcore.Core) zapcore.Core {
	return sampledDebug{Core: c, debug: zapcore.NewSamplerWithOptions(c, debugSampleInterval, debugFirst, debugThereafter)}
}

// With implements zapcore.Core.
func (c sampledDebug) With(fields []zapcore.Field) zapcore.Core {
	return sampledDebug{Core: c.Core.With(fields), debug: c.debug.With(fields)}
}

// Check implements zapcore.Core.
func (c sampledDebug) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level == zapcore.DebugLevel {
		return c.debug.Check(e, ce)
	}
	return c.Core.Check(e, ce)
}
