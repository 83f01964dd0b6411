package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// handoverTimeout bounds each part of the handover of duties.
const handoverTimeout = 5 * time.Second

// lastAnswers is how long callers get to read what became of requests that
// were cut.
const lastAnswers = 2 * time.Second

// Shutdown ends the instance without cutting a request: it reports not ready,
// hands its duties over, passes waiting requests to others, finishes what runs
// and leaves. When the context ends first, what is left is cut, each request
// with a true answer.
func (i *Instance) Shutdown(ctx context.Context) error {
	if i.draining.Swap(true) {
		return errors.New("already shutting down")
	}
	i.logger.Info("shutting down", zap.String("instance", i.options.Settings.Name))
	i.members.MarkLeaving()
	i.admission.Drain()
	i.waitNotice(ctx)
	err := i.finish(ctx)
	i.release(ctx)
	i.leave(ctx)
	err = errors.CombineErrors(err, i.admin.Shutdown(ctx))
	i.stop()
	return err
}

// release gives the lease back. Its shards have moved to others since the
// instance was marked as leaving; requests that waited here under them have
// been run here, followed by the next key owners.
func (i *Instance) release(ctx context.Context) {
	handover, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := i.shards.Release(handover); err != nil {
		i.logger.Warn("shards were not handed over; they wait for the lease to end", zap.Error(err))
	}
	if !i.ledger.PassCopies(handover) {
		i.logger.Warn("records of forwarded requests were left that no instance took")
	}
}

// waitNotice lets the balancer see that the instance is not ready.
func (i *Instance) waitNotice(ctx context.Context) {
	notice := i.options.DrainDelay
	if notice == 0 {
		notice = drainNotice
	}
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
}

// finish waits for the open responses and the runs. When the context ends first
// it cuts the runs, and only after lastAnswers the responses, which tell the
// callers what became of their requests.
func (i *Instance) finish(ctx context.Context) error {
	responses, answered := context.WithCancel(context.WithoutCancel(ctx))
	defer answered()
	var cutting conc.WaitGroup
	cutting.Go(func() { i.cut(ctx, responses, answered) })
	err := i.entry.Shutdown(responses)
	if err == nil && ctx.Err() != nil {
		err = errors.Wrap(ctx.Err(), "requests may have been cut")
	}
	answered()
	cutting.Wait()
	i.executor.Shutdown(ctx)
	return err
}

// cut waits for the context's end, unless the responses have ended before, and
// cuts what is left.
func (i *Instance) cut(ctx, responses context.Context, answered context.CancelFunc) {
	select {
	case <-responses.Done():
		return
	case <-ctx.Done():
	}
	defer time.AfterFunc(lastAnswers, answered).Stop()
	i.executor.Shutdown(ctx)
	<-responses.Done()
}

func (i *Instance) leave(ctx context.Context) {
	farewell, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := i.members.Leave(farewell); err != nil {
		i.logger.Warn("other instances were not told of the leave", zap.Error(err))
	}
}

// Kill ends the instance as a crash would: nothing is handed over or answered.
func (i *Instance) Kill() {
	i.draining.Store(true)
	i.callers.abort()
	_ = i.bus.Close()
	i.cancel()
	i.entry.Kill()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	i.executor.Shutdown(ended)
	_ = i.admin.Shutdown(ended)
	i.stop()
}

// stop ends the background work.
func (i *Instance) stop() {
	i.cancel()
	i.background.Wait()
	_ = i.bus.Close()
	i.platform.Close()
	i.metrics.Close()
}
