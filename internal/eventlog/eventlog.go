// Package eventlog writes structured lines without ever holding up those who
// log.
//
// Lines go through a bounded queue to one goroutine that writes them in
// batches. When the queue fills, or more lines come than the bound allows,
// lines are dropped: those of requests that went well first, warnings and
// errors only when there is no room at all. How many were dropped is itself
// logged and counted.
package eventlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait to be written: some seconds of the
	// usual volume, at a few hundred bytes a line.
	queueLines = 2048
	// batchBytes bounds one write.
	batchBytes = 32 << 10
	// infoPerSecond bounds the lines below a warning: several times the share
	// of one instance at the size that the system is designed for.
	infoPerSecond = 400
	// dropReportPeriod is the shortest time between two lines about drops.
	dropReportPeriod = time.Second
	// flushTime bounds the wait of Close for lines that cannot be written.
	flushTime = 200 * time.Millisecond
)

// Log is the queue of one process's lines.
type Log struct {
	clock   clockwork.Clock
	started time.Time
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	// second and count bound the lines below a warning; a race between two
	// seconds only blurs the bound.
	second atomic.Int64
	count  atomic.Int64
}

// New returns a log that writes to out; Close it.
func New(clock clockwork.Clock, out io.Writer) *Log {
	l := &Log{
		clock: clock, started: clock.Now(), out: out, lines: make(chan []byte, queueLines),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go l.run()
	return l
}

// Logger returns a logger whose lines name the instance.
func (l *Log) Logger(instance string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, zapcore.InfoLevel)
	return zap.New(&bounded{core, l}).With(zap.String("instance", instance))
}

// Dropped counts the lines that were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes what waits, as far as it can be written soon.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-l.clock.After(flushTime):
	}
}

// Write implements zapcore.WriteSyncer; it never blocks.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (l *Log) Sync() error { return nil }

// crowded reports whether a line of the level is to be dropped.
func (l *Log) crowded(level zapcore.Level) bool {
	if level >= zapcore.WarnLevel {
		return false
	}
	if len(l.lines) > queueLines/2 {
		return true
	}
	second := int64(l.clock.Since(l.started) / time.Second)
	if l.second.Swap(second) != second {
		l.count.Store(0)
	}
	return l.count.Add(1) > infoPerSecond
}

// run writes lines until Close.
func (l *Log) run() {
	defer close(l.done)
	var reported uint64
	var reportedAt time.Time
	for {
		var batch []byte
		select {
		case line := <-l.lines:
			batch = l.fill(line)
		case <-l.stop:
			select {
			case line := <-l.lines:
				batch = l.fill(line)
			default:
				return
			}
		}
		if dropped, now := l.dropped.Load(), l.clock.Now(); dropped > reported && now.Sub(reportedAt) > dropReportPeriod {
			batch = append(batch, dropLine(dropped-reported, now)...)
			reported, reportedAt = dropped, now
		}
		if _, err := l.out.Write(batch); err != nil {
			// There is nowhere to report a failing output to but the counter.
			l.dropped.Add(1)
		}
	}
}

// fill adds to a line those that wait behind it.
func (l *Log) fill(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-l.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func dropLine(count uint64, now time.Time) []byte {
	return []byte(`{"level":"warn","ts":` + strconv.FormatInt(now.UnixMilli(), 10) +
		`,"msg":"log lines dropped","count":` + strconv.FormatUint(count, 10) + "}\n")
}

// bounded drops lines before they are encoded.
type bounded struct {
	zapcore.Core
	log *Log
}

// With implements zapcore.Core.
func (b *bounded) With(fields []zapcore.Field) zapcore.Core {
	return &bounded{b.Core.With(fields), b.log}
}

// Check implements zapcore.Core.
func (b *bounded) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(entry.Level) {
		return checked
	}
	if b.log.crowded(entry.Level) {
		b.log.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, b)
}

// ErrorField is the field of an error, without the stack that some errors carry.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
