package eventlog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockingWriter blocks writes until unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	close(out.unblocked)
	l := New(clockwork.NewRealClock(), out)
	logger := l.Logger("edge-1")
	logger.Info("first", zap.Int("n", 1))
	logger.Warn("second")
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], `"first","instance":"edge-1","n":1`), lines[0])
	assert.Assert(t, strings.Contains(lines[1], `"second"`))
}

func TestBlockedOutputHoldsNobodyUpAndWarningsOutlastTheRest(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	l := New(clockwork.NewFakeClock(), out)
	logger := l.Logger("edge-1")
	for range 3 * queueCapacity {
		logger.Info("request answered")
	}
	for range queueCapacity / 4 {
		logger.Warn("request refused")
	}
	assert.Equal(t, l.Dropped(), uint64(3*queueCapacity-maxInfoLinesPerSecond))
	close(out.unblocked)
	l.closeOnce.Do(func() { close(l.stop) })
	<-l.done
	assert.Equal(t, strings.Count(out.String(), "request refused"), queueCapacity/4)
	assert.Equal(t, strings.Count(out.String(), "log lines dropped"), 1)
}

func TestFullQueueDropsWarningsToo(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	l := New(clockwork.NewFakeClock(), out)
	logger := l.Logger("edge-1")
	for range 2 * queueCapacity {
		logger.Warn("request refused")
	}
	assert.Assert(t, l.Dropped() >= queueCapacity/2, "%d", l.Dropped())
	close(out.unblocked)
	l.Close()
}

// failingWriter fails each write and counts the lines in it.
type failingWriter struct{ lines int }

func (w *failingWriter) Write(p []byte) (int, error) {
	w.lines += bytes.Count(p, []byte{'\n'})
	return 0, io.ErrClosedPipe
}

// Each write to an output that fails was counted as one line, whatever their number.
func TestAllLinesOfAFailedWriteAreCounted(t *testing.T) {
	out := &failingWriter{}
	l := New(clockwork.NewRealClock(), out)
	logger := l.Logger("edge-1")
	for range 10 {
		logger.Warn("line")
	}
	l.Close()
	// A report of dropped lines is written, and lost, as well.
	assert.Assert(t, out.lines >= 10)
	assert.Equal(t, l.Dropped(), uint64(out.lines))
}
