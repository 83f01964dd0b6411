package eventlog

import (
	"bytes"
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
