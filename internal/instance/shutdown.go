package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// handoverTimeout is the timeout for handing over shards and records, and that for
// leaving the membership.
const handoverTimeout = 5 * time.Second

// finalResponseTimeout is how long the responses of cancelled requests, which
// state whether the request ran, may still be sent.
const finalResponseTimeout = 2 * time.Second

// Shutdown drains the instance: it reports not ready, forwards queued requests to
// other instances, waits for running requests, hands over its shards and leaves
// the membership. If the context ends first, the remaining requests are cancelled
// and each gets a refusal that states whether it ran.
func (i *Instance) Shutdown(ctx context.Context) error {
	if i.shuttingDown.Swap(true) {
		return errors.New("already shutting down")
	}
	i.logger.Info("shutting down", zap.String("instance", i.options.Settings.Name))
	i.membership.MarkLeaving()
	i.admission.Drain()
	i.waitDrainDelay(ctx)
	err := i.finishRequests(ctx)
	i.handOverState(ctx)
	i.leaveMembership(ctx)
	err = errors.CombineErrors(err, i.admin.Shutdown(ctx))
	i.stopBackground()
	return err
}

// handOverState releases the lease on shards and passes records of forwarded
// requests to other instances. The shards have moved to others since the instance
// was marked as leaving; keyed requests that were queued here have been run here
// meanwhile, and the next key owners follow them.
func (i *Instance) handOverState(ctx context.Context) {
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := i.shards.Release(handoverCtx); err != nil {
		i.logger.Warn("shards were not handed over; other instances cannot take them over before the lease expires", zap.Error(err))
	}
	if !i.ledger.HandOverForwards(handoverCtx) {
		i.logger.Warn("no other instance accepted all records of forwarded requests")
	}
}

// waitDrainDelay waits until the load balancer can have noticed that the instance
// is not ready.
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

// finishRequests waits for the open responses and the runs. If the context ends
// first, it cancels the runs, and the responses only finalResponseTimeout later, so
// that the callers receive what became of their requests.
func (i *Instance) finishRequests(ctx context.Context) error {
	responsesCtx, cancelResponses := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelResponses()
	var canceller conc.WaitGroup
	canceller.Go(func() { i.cancelAtDeadline(ctx, responsesCtx, cancelResponses) })
	err := i.entry.Shutdown(responsesCtx)
	if err == nil && ctx.Err() != nil {
		err = errors.Wrap(ctx.Err(), "shutdown deadline passed, requests may have been cancelled")
	}
	cancelResponses()
	canceller.Wait()
	i.executor.Shutdown(ctx)
	return err
}

// cancelAtDeadline cancels what is left when the context ends, unless the responses
// have ended before.
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
		i.logger.Warn("other instances were not notified of the leave", zap.Error(err))
	}
}

// Kill stops the instance as a crash would: nothing is handed over and no response
// is completed.
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

// stopBackground stops the background work and closes the connections to other
// instances and to the platform.
func (i *Instance) stopBackground() {
	i.cancelBackground()
	i.background.Wait()
	_ = i.bus.Close()
	i.platform.Close()
	i.metrics.Close()
}
