// Package logging makes the daemons' loggers from their settings.
package logging

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnlift/cairnlift/settings"
)

// New returns a logger that writes to standard error. Every part of a daemon
// names its own with Named, which becomes the fixed prefix of its lines. Lines above debug
// are never sampled: each routing and placement decision has to be found again.
func New(s settings.Log) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if s.Level != "" {
		if err := level.Set(s.Level); err != nil {
			return nil, errors.Wrap(err, "log level")
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
	return log, errors.Wrap(err, "logger")
}

// encoderConfig is how a line is written.
func encoderConfig() zapcore.EncoderConfig {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	enc.NameKey = "part"
	return enc
}
