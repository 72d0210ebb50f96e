// Package logging creates the daemons' loggers from their settings.
package logging

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnlift/cairnlift/settings"
)

// New returns a logger that writes to standard error. Each part of a daemon derives its own logger
// with Named; the name is written in the field "part" of its lines. Lines above debug level are
// never sampled, since each routing and placement decision must be found in the log.
func New(s settings.Log) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if s.Level != "" {
		if err := level.Set(s.Level); err != nil {
			return nil, errors.Wrap(err, "parse log level")
		}
	}
	format := s.Format
	if format == "" {
		format = "json"
	}
	cfg := zap.Config{
		Level:             zap.NewAtomicLevelAt(level),
		Encoding:          format,
		EncoderConfig:     encoderConfig(),
		OutputPaths:       []string{"stderr"},
		ErrorOutputPaths:  []string{"stderr"},
		DisableCaller:     true,
		DisableStacktrace: true,
	}
	log, err := cfg.Build(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return newSampledDebug(messageOnlyErrors{c}) }))
	return log, errors.Wrap(err, "create logger")
}

// encoderConfig returns the encoding of log lines, which New and NewBounded share.
func encoderConfig() zapcore.EncoderConfig {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	cfg.NameKey = "part"
	return cfg
}
