package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnlift/cairnlift/logging/event"
)

// budget bounds what a process writes in a second.
type budget struct{ lines, bytes int }

// Each class of lines has a budget of its own, so that a flood of one never pushes out
// another: the line that explains a failure, or the one that says when the leader
// changed. The bytes bound how far back the last 95 kB of a process reach, which is what
// an incident's record keeps of it. A busy leader of eleven workers writes 6 kB a second,
// an entry up to 45 kB in the second in which all callers come back after an outage.
var budgetsPerSecond = [numClasses]budget{
	routine: {lines: 400, bytes: 64 << 10},
	rare:    {lines: 50, bytes: 8 << 10},
	warning: {lines: 200, bytes: 32 << 10},
}

// class is a class of lines with a budget.
type class int

const (
	routine class = iota
	rare
	warning
	numClasses
)

// classOf returns a line's class; event.Priority says what belongs where.
func classOf(level zapcore.Level, fields []zapcore.Field) class {
	switch {
	case level >= zapcore.WarnLevel:
		return warning
	case event.IsRare(fields):
		return rare
	}
	return routine
}

const (
	// MaxQueuedLines is the number of lines that wait for a slow reader of the output.
	MaxQueuedLines = 2048
	// flushTimeout bounds the wait for a slow reader at the process's end.
	flushTimeout = 200 * time.Millisecond
	// dropNoticeInterval is the time between two lines that say what was left out.
	dropNoticeInterval = time.Second
	// timeLayout is how the other lines write their time.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
	processKey = "process"
)

// Bounded is a logger's output whose volume is bounded and that never blocks.
//
// What goes wrong without it: standard output is a pipe; a reader that is stuck
// stops the process at the next line, in the middle of a request. A burst of
// requests costs more for its lines than for its answers.
type Bounded struct {
	out        io.Writer
	process    string
	lines      chan []byte
	closing    chan struct{}
	writerDone chan struct{}
	dropped    atomic.Int64
	bytes      atomic.Int64
	now        func() time.Time

	mu          sync.Mutex
	periodStart time.Time
	used        [numClasses]budget
}

// NewBounded returns a logger that writes JSON lines to out, each with the name of the
// process, and its bounded output.
func NewBounded(out io.Writer, level, process string) (*zap.Logger, *Bounded, error) {
	at := zapcore.InfoLevel
	if level != "" {
		if err := at.Set(level); err != nil {
			return nil, nil, errors.Wrap(err, "log level")
		}
	}
	b := &Bounded{
		out: out, process: process, now: time.Now,
		lines: make(chan []byte, MaxQueuedLines), closing: make(chan struct{}), writerDone: make(chan struct{}),
	}
	go b.write()
	core := messageOnlyErrors{&boundedCore{LevelEnabler: at, encoder: zapcore.NewJSONEncoder(encoderConfig()), b: b}}
	return zap.New(core).With(zap.String(processKey, process)), b, nil
}

// Close ends the output and waits, for flushTimeout at most, until what was logged
// is written. Lines of goroutines that outlive it are left out.
func (b *Bounded) Close() {
	close(b.closing)
	select {
	case <-b.writerDone:
	case <-time.After(flushTimeout):
	}
}

// MetricBytes is the name of the number of bytes logged so far.
const MetricBytes = "log.bytes"

// Register shows the bytes logged and the lines left out and waiting among a process's metrics.
func (b *Bounded) Register(r metrics.Registry) {
	r.GetOrRegister("log.lines_left_out", metrics.NewFunctionalGauge(b.Dropped))
	r.GetOrRegister(MetricBytes, metrics.NewFunctionalGauge(b.bytes.Load))
	r.GetOrRegister("log.lines_queued", metrics.NewFunctionalGauge(func() int64 { return int64(b.Queued()) }))
}

// Queued is the number of lines that wait for the reader of the output.
func (b *Bounded) Queued() int { return len(b.lines) }

// Dropped is the number of lines that were left out so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// write hands the lines on and says, in lines of its own, how many were left out.
func (b *Bounded) write() {
	defer close(b.writerDone)
	notices := time.NewTicker(dropNoticeInterval)
	defer notices.Stop()
	n := dropNotice{b: b}
	for {
		select {
		case line := <-b.lines:
			b.writeLine(line)
			if len(b.lines) == 0 && b.now().Sub(n.lastAt) >= dropNoticeInterval {
				n.write()
			}
		case <-notices.C:
			n.write()
		case <-b.closing:
			for range len(b.lines) {
				b.writeLine(<-b.lines)
			}
			n.write()
			return
		}
	}
}

func (b *Bounded) writeLine(line []byte) {
	if _, err := b.out.Write(line); err != nil {
		b.dropped.Add(1) // nowhere is left to say so but the counter
	}
}

// dropNotice says how many lines were left out since it last did.
type dropNotice struct {
	b        *Bounded
	reported int64
	lastAt   time.Time
}

func (n *dropNotice) write() {
	dropped := n.b.dropped.Load()
	if dropped == n.reported {
		return
	}
	at := n.b.now()
	_, _ = fmt.Fprintf(n.b.out, "{\"level\":\"warn\",\"ts\":%q,\"part\":%q,\"msg\":%q,%q:%q,\"lines\":%d}\n",
		at.Format(timeLayout), event.LinesLeftOut.Part, event.LinesLeftOut.Name, processKey, n.b.process, dropped-n.reported)
	n.reported, n.lastAt = dropped, at
}

// admitLine spends one line of this second's budget; lines that find none are not even
// encoded.
func (b *Bounded) admitLine(c class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.periodStart) >= time.Second {
		b.periodStart, b.used = now, [numClasses]budget{}
	}
	if b.used[c].lines >= budgetsPerSecond[c].lines {
		return false
	}
	b.used[c].lines++
	return true
}

// admitBytes spends the bytes of a line.
func (b *Bounded) admitBytes(c class, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used[c].bytes+bytes > budgetsPerSecond[c].bytes {
		return false
	}
	b.used[c].bytes += bytes
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
	class := classOf(e.Level, fields)
	if !c.b.admitLine(class) {
		c.b.dropped.Add(1)
		return nil
	}
	buffer, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return errors.Wrap(err, "log line")
	}
	defer buffer.Free()
	if !c.b.admitBytes(class, buffer.Len()) {
		c.b.dropped.Add(1)
		return nil
	}
	select {
	case c.b.lines <- append([]byte(nil), buffer.Bytes()...):
		c.b.bytes.Add(int64(buffer.Len()))
	default:
		c.b.dropped.Add(1)
	}
	return nil
}

// Sync implements zapcore.Core; lines are handed on as they come.
func (c *boundedCore) Sync() error { return nil }
