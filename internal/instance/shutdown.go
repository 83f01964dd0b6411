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

// finalResponseTimeout is how long callers get to read what became of requests that
// were cut.
const finalResponseTimeout = 2 * time.Second

// Shutdown ends the instance without cutting a request: it reports not ready,
// hands its duties over, passes waiting requests to others, finishes what runs
// and leaves. When the context ends first, what is left is cut, each request
// with a true answer.
func (i *Instance) Shutdown(ctx context.Context) error {
	if i.shuttingDown.Swap(true) {
		return errors.New("already shutting down")
	}
	i.logger.Info("shutting down", zap.String("instance", i.options.Settings.Name))
	i.membership.MarkLeaving()
	i.admission.Drain()
	i.waitDrainDelay(ctx)
	err := i.finishRequests(ctx)
	i.handOverDuties(ctx)
	i.leaveMembership(ctx)
	err = errors.CombineErrors(err, i.admin.Shutdown(ctx))
	i.stopBackground()
	return err
}

// handOverDuties gives the lease back. Its shards have moved to others since the
// instance was marked as leaving; requests that waited here under them have
// been run here, followed by the next key owners.
func (i *Instance) handOverDuties(ctx context.Context) {
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := i.shards.Release(handoverCtx); err != nil {
		i.logger.Warn("shards were not handed over; they wait for the lease to end", zap.Error(err))
	}
	if !i.ledger.PassCopies(handoverCtx) {
		i.logger.Warn("records of forwarded requests were left that no instance took")
	}
}

// waitDrainDelay lets the balancer see that the instance is not ready.
func (i *Instance) waitDrainDelay(ctx context.Context) {
	delay := i.options.DrainDelay
	if delay == 0 {
		delay = defaultDrainDelay
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// finishRequests waits for the open responses and the runs. When the context ends first
// it cuts the runs, and only after lastAnswers the responses, which tell the
// callers what became of their requests.
func (i *Instance) finishRequests(ctx context.Context) error {
	responsesCtx, cancelResponses := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelResponses()
	var canceller conc.WaitGroup
	canceller.Go(func() { i.cancelAtDeadline(ctx, responsesCtx, cancelResponses) })
	err := i.entry.Shutdown(responsesCtx)
	if err == nil && ctx.Err() != nil {
		err = errors.Wrap(ctx.Err(), "requests may have been cut")
	}
	cancelResponses()
	canceller.Wait()
	i.executor.Shutdown(ctx)
	return err
}

// cancelAtDeadline waits for the context's end, unless the responses have ended before, and
// cuts what is left.
func (i *Instance) cancelAtDeadline(ctx, responsesCtx context.Context, cancelResponses context.CancelFunc) {
	select {
	case <-responsesCtx.Done():
		return
	case <-ctx.Done():
	}
	defer time.AfterFunc(finalResponseTimeout, cancelResponses).Stop()
	i.executor.Shutdown(ctx)
	<-responsesCtx.Done()
}

func (i *Instance) leaveMembership(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := i.membership.Leave(leaveCtx); err != nil {
		i.logger.Warn("other instances were not told of the leave", zap.Error(err))
	}
}

// Kill ends the instance as a crash would: nothing is handed over or answered.
func (i *Instance) Kill() {
	i.shuttingDown.Store(true)
	i.callerListener.resetAll()
	_ = i.bus.Close()
	i.cancelBackground()
	i.entry.Kill()
	endedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	i.executor.Shutdown(endedCtx)
	_ = i.admin.Shutdown(endedCtx)
	i.stopBackground()
}

// stopBackground ends the background work.
func (i *Instance) stopBackground() {
	i.cancelBackground()
	i.background.Wait()
	_ = i.bus.Close()
	i.platform.Close()
	i.metrics.Close()
}
