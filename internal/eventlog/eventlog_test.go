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

// gate blocks writes until it is opened.
type gate struct {
	opened chan struct{}
	mu     sync.Mutex
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.opened
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Buffer.Write(p)
}

func TestLinesComeOutInOrder(t *testing.T) {
	out := &gate{opened: make(chan struct{})}
	close(out.opened)
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
	out := &gate{opened: make(chan struct{})}
	l := New(clockwork.NewFakeClock(), out)
	logger := l.Logger("edge-1")
	for range 3 * queueLines {
		logger.Info("request answered")
	}
	for range queueLines / 4 {
		logger.Warn("request refused")
	}
	assert.Equal(t, l.Dropped(), uint64(3*queueLines-infoPerSecond))
	close(out.opened)
	l.once.Do(func() { close(l.stop) })
	<-l.done
	assert.Equal(t, strings.Count(out.String(), "request refused"), queueLines/4)
	assert.Equal(t, strings.Count(out.String(), "log lines dropped"), 1)
}

func TestFullQueueDropsWarningsToo(t *testing.T) {
	out := &gate{opened: make(chan struct{})}
	l := New(clockwork.NewFakeClock(), out)
	logger := l.Logger("edge-1")
	for range 2 * queueLines {
		logger.Warn("request refused")
	}
	assert.Assert(t, l.Dropped() >= queueLines/2, "%d", l.Dropped())
	close(out.opened)
	l.Close()
}
