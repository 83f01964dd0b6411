// Package eventlog writes structured log lines asynchronously, so that a slow or
// blocked output never delays the callers of a logger.
//
// Log is a bounded queue from which one goroutine writes lines in batches. Lines
// below warning level are dropped when the queue is half full or when they
// exceed a rate; warnings and errors only when the queue is full. The number of
// dropped lines is logged and counted.
package eventlog

import (
	"bytes"
	"io"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity bounds the queued lines: some seconds of the usual volume,
	// at a few hundred bytes per line.
	queueCapacity = 2048
	// maxBatchBytes is the size from which no further lines are added to a
	// write.
	maxBatchBytes = 32 << 10
	// maxInfoLinesPerSecond limits the lines below warning level. It is several
	// times the rate of one instance at the size that the system is designed
	// for.
	maxInfoLinesPerSecond = 400
	// dropReportInterval is the shortest time between two reports of dropped
	// lines.
	dropReportInterval = time.Second
	// flushTimeout bounds how long Close waits for the output.
	flushTimeout = 200 * time.Millisecond
)

// Log queues the log lines of one process and writes them.
type Log struct {
	clock     clockwork.Clock
	startedAt time.Time
	output    io.Writer
	queue     chan []byte
	dropped   atomic.Uint64
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	// currentSecond and linesInSecond limit the rate of lines below warning
	// level. A race at the turn of a second makes the limit slightly inexact, no
	// more.
	currentSecond atomic.Int64
	linesInSecond atomic.Int64
}

// New returns a log that writes to output; the caller must Close it.
func New(clock clockwork.Clock, output io.Writer) *Log {
	l := &Log{
		clock: clock, startedAt: clock.Now(), output: output, queue: make(chan []byte, queueCapacity),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go l.writeLoop()
	return l
}

// Logger returns a logger that adds the instance's name to each line.
func (l *Log) Logger(instance string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, zapcore.InfoLevel)
	return zap.New(&limitedCore{core, l}).With(zap.String("instance", instance))
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// SurviveClosedOutput makes writes to a standard output or error that its reader has closed
// fail. By default, they end a process with SIGPIPE.
func SurviveClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// Close writes the queued lines, and gives up after flushTimeout.
func (l *Log) Close() {
	l.closeOnce.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-l.clock.After(flushTimeout):
	}
}

// Write implements zapcore.WriteSyncer; it queues the line and never blocks.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; it does nothing.
func (l *Log) Sync() error { return nil }

// shouldDrop reports whether a line of the level is to be dropped.
func (l *Log) shouldDrop(level zapcore.Level) bool {
	if level >= zapcore.WarnLevel {
		return false
	}
	if len(l.queue) > queueCapacity/2 {
		return true
	}
	second := int64(l.clock.Since(l.startedAt) / time.Second)
	if l.currentSecond.Swap(second) != second {
		l.linesInSecond.Store(0)
	}
	return l.linesInSecond.Add(1) > maxInfoLinesPerSecond
}

// writeLoop writes queued lines until Close is called and the queue is empty.
func (l *Log) writeLoop() {
	defer close(l.done)
	var reported uint64
	var reportedAt time.Time
	for {
		var batch []byte
		select {
		case line := <-l.queue:
			batch = l.fillBatch(line)
		case <-l.stop:
			select {
			case line := <-l.queue:
				batch = l.fillBatch(line)
			default:
				return
			}
		}
		if dropped, now := l.dropped.Load(), l.clock.Now(); dropped > reported && now.Sub(reportedAt) > dropReportInterval {
			batch = append(batch, droppedLinesEntry(dropped-reported, now)...)
			reported, reportedAt = dropped, now
		}
		if _, err := l.output.Write(batch); err != nil {
			// A failing output can be reported by the counter only.
			l.dropped.Add(uint64(bytes.Count(batch, []byte{'\n'})))
		}
	}
}

// fillBatch appends queued lines to a batch.
func (l *Log) fillBatch(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-l.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func droppedLinesEntry(count uint64, now time.Time) []byte {
	return []byte(`{"level":"warn","ts":` + strconv.FormatInt(now.UnixMilli(), 10) +
		`,"msg":"log lines dropped","count":` + strconv.FormatUint(count, 10) + "}\n")
}

// limitedCore drops lines before they are encoded.
type limitedCore struct {
	zapcore.Core
	log *Log
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{c.Core.With(fields), c.log}
}

// Check implements zapcore.Core.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if c.log.shouldDrop(entry.Level) {
		c.log.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// ErrorField returns the log field for an error, without the stack trace that
// some errors print; for nil it returns a field that is skipped.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
