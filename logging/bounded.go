package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// routineLinesPerSecond and urgentLinesPerSecond bound what a process writes. A
	// site's burst makes about 200 lines a second on the busiest process; warnings and
	// errors have a budget of their own, so that a flood of routine lines never
	// pushes out the line that explains a failure.
	routineLinesPerSecond = 400
	urgentLinesPerSecond  = 200
	// queuedLines wait for a slow reader of the output.
	queuedLines = 2048
	// flushTimeout bounds the wait for a slow reader at the process's end.
	flushTimeout = 200 * time.Millisecond
)

// Bounded is a logger's output whose volume is bounded and that never blocks.
//
// What goes wrong without it: standard output is a pipe; a reader that is stuck
// stops the process at the next line, in the middle of a request. A burst of
// requests costs more for its lines than for its answers.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	written chan struct{}
	dropped atomic.Int64
	now     func() time.Time

	mu      sync.Mutex
	second  time.Time
	routine int
	urgent  int
}

// NewBounded returns a logger that writes JSON lines to out, and its bounded output.
func NewBounded(out io.Writer, level string) (*zap.Logger, *Bounded, error) {
	at := zapcore.InfoLevel
	if level != "" {
		if err := at.Set(level); err != nil {
			return nil, nil, errors.Wrap(err, "log level")
		}
	}
	b := &Bounded{out: out, lines: make(chan []byte, queuedLines), written: make(chan struct{}), now: time.Now}
	go b.write()
	return zap.New(shortErrors{&boundedCore{LevelEnabler: at, encoder: zapcore.NewJSONEncoder(encoding()), b: b}}), b, nil
}

// Close ends the output and waits, for flushTimeout at most, until what was logged
// is written. Nothing may be logged after it.
func (b *Bounded) Close() {
	close(b.lines)
	select {
	case <-b.written:
	case <-time.After(flushTimeout):
	}
}

// Dropped is the number of lines that were left out so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// write hands the lines on and says, in a line of its own, how many were left out.
func (b *Bounded) write() {
	defer close(b.written)
	var told int64
	for line := range b.lines {
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1) // nowhere is left to say so but the counter
		}
		if dropped := b.dropped.Load(); dropped > told && len(b.lines) == 0 {
			_, _ = fmt.Fprintf(b.out, "{\"level\":\"warn\",\"part\":\"log\",\"msg\":\"lines left out\",\"lines\":%d}\n", dropped-told)
			told = dropped
		}
	}
}

// admit spends the budget of this second.
func (b *Bounded) admit(level zapcore.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.second) >= time.Second {
		b.second, b.routine, b.urgent = now, 0, 0
	}
	used, budget := &b.routine, routineLinesPerSecond
	if level >= zapcore.WarnLevel {
		used, budget = &b.urgent, urgentLinesPerSecond
	}
	if *used >= budget {
		return false
	}
	*used++
	return true
}

// boundedCore encodes the lines that the budget admits.
type boundedCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	b       *Bounded
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	clone := &boundedCore{LevelEnabler: c.LevelEnabler, encoder: c.encoder.Clone(), b: c.b}
	for _, f := range fields {
		f.AddTo(clone.encoder)
	}
	return clone
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c *boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.b.admit(e.Level) {
		c.b.dropped.Add(1)
		return nil
	}
	buffer, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return errors.Wrap(err, "log line")
	}
	line := append([]byte(nil), buffer.Bytes()...)
	buffer.Free()
	select {
	case c.b.lines <- line:
	default:
		c.b.dropped.Add(1)
	}
	return nil
}

// Sync implements zapcore.Core; lines are handed on as they come.
func (c *boundedCore) Sync() error { return nil }
