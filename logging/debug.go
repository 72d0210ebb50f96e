package logging

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Sampling of debug lines with the same message: in each debugSampleInterval the first debugFirst
// are written, then every debugThereafter-th.
const (
	debugSampleInterval = time.Second
	debugFirst          = 50
	debugThereafter     = 100
)

// sampledDebug is a core that samples debug lines only. Lines of higher levels, which include
// routing and placement decisions, are all written, since each decision must be found in the log.
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
