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

// budget limits what a process writes per second.
type budget struct{ lines, bytes int }

// budgetsPerSecond has a separate budget for each class of lines, so that a burst of one class
// does not displace another, such as the line that explains a failure or a change of leader. The
// byte limits determine how far back the last 95 kB of a process reach, which is what an incident
// record keeps of it. A busy leader of eleven workers writes 6 kB per second; an entry writes up
// to 45 kB in the second in which all callers reconnect after an outage.
var budgetsPerSecond = [numClasses]budget{
	routine: {lines: 400, bytes: 64 << 10},
	rare:    {lines: 50, bytes: 8 << 10},
	warning: {lines: 200, bytes: 32 << 10},
}

// class is a class of log lines that share a budget.
type class int

const (
	routine class = iota
	rare
	warning
	numClasses
)

// classOf returns the class of a line. event.Priority defines which lines belong to which class.
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
	// MaxQueuedLines is the capacity of the queue of lines that wait for a slow reader.
	MaxQueuedLines = 2048
	// flushTimeout limits how long Close waits for a slow reader.
	flushTimeout = 200 * time.Millisecond
	// dropNoticeInterval is the time between two lines that report dropped lines.
	dropNoticeInterval = time.Second
	// timeLayout is the time format of lines that zap encodes.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
	processKey = "process"
)

// Bounded is a log output of limited volume that never blocks its callers.
//
// Standard output is a pipe: with blocking writes, a stuck reader stops the process at the next
// line, in the middle of a request. Without the limit, writing the lines of a burst of requests
// costs more than answering them.
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

// NewBounded returns a logger that writes JSON lines to out, each with the name of the process,
// and the logger's bounded output.
func NewBounded(out io.Writer, level, process string) (*zap.Logger, *Bounded, error) {
	minLevel := zapcore.InfoLevel
	if level != "" {
		if err := minLevel.Set(level); err != nil {
			return nil, nil, errors.Wrap(err, "parse log level")
		}
	}
	b := &Bounded{
		out: out, process: process, now: time.Now,
		lines: make(chan []byte, MaxQueuedLines), closing: make(chan struct{}), writerDone: make(chan struct{}),
	}
	go b.write()
	core := messageOnlyErrors{&boundedCore{LevelEnabler: minLevel, encoder: zapcore.NewJSONEncoder(encoderConfig()), b: b}}
	return zap.New(core).With(zap.String(processKey, process)), b, nil
}

// Close stops the output and waits up to flushTimeout until the queued lines are written. Lines
// that goroutines log after Close are dropped.
func (b *Bounded) Close() {
	close(b.closing)
	select {
	case <-b.writerDone:
	case <-time.After(flushTimeout):
	}
}

// MetricBytes is the name of the gauge that counts the bytes logged since the process started.
const MetricBytes = "log.bytes"

// Register adds gauges of the bytes logged, the lines dropped and the lines queued to r.
func (b *Bounded) Register(r metrics.Registry) {
	r.GetOrRegister("log.lines_left_out", metrics.NewFunctionalGauge(b.Dropped))
	r.GetOrRegister(MetricBytes, metrics.NewFunctionalGauge(b.bytes.Load))
	r.GetOrRegister("log.lines_queued", metrics.NewFunctionalGauge(func() int64 { return int64(b.Queued()) }))
}

// Queued returns the number of lines that wait for the reader of the output.
func (b *Bounded) Queued() int { return len(b.lines) }

// Dropped returns the number of lines dropped since the process started.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// write copies queued lines to the output and adds lines that report how many were dropped.
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
		b.dropped.Add(1) // the output failed, so only the counter can report it
	}
}

// dropNotice reports how many lines were dropped since its previous report.
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

// admitLine takes one line from the budget of the current second and reports whether the budget
// allowed it. Lines that exceed it are not encoded.
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

// admitBytes takes the bytes of a line from the budget and reports whether the budget allowed it.
func (b *Bounded) admitBytes(c class, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used[c].bytes+bytes > budgetsPerSecond[c].bytes {
		return false
	}
	b.used[c].bytes += bytes
	return true
}

// boundedCore is a zap core that encodes and queues the lines that the budget admits.
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
		return errors.Wrap(err, "encode log line")
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

// Sync implements zapcore.Core. It does nothing, since lines are written as they are queued.
func (c *boundedCore) Sync() error { return nil }
