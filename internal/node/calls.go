package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// Methods of calls between instances.
const (
	methodConfiguration = "configuration"
	methodTargets       = "targets"
)

// configurationResponse is the response to methodConfiguration.
type configurationResponse struct {
	Source []byte `json:"source,omitempty"`
}

// targetsResponse is the response to methodTargets.
type targetsResponse struct {
	Position uint64            `json:"position"`
	Era      uint64            `json:"era,omitempty"`
	Targets  []*catalog.Target `json:"targets"`
}

func (n *Node) registerCallHandlers() {
	n.bus.Handle(methodConfiguration, func(_ context.Context, from string, _ json.RawMessage) (any, error) {
		if c := n.configuration.Current(); c != nil {
			n.logger.Info("configuration sent to an instance", zap.String("peer", from), zap.Uint64("config", c.Version), zap.Int("bytes", len(c.Source)))
			return configurationResponse{c.Source}, nil
		}
		return nil, errors.New("no configuration is known")
	})
	n.bus.Handle(methodTargets, func(context.Context, string, json.RawMessage) (any, error) {
		n.targetsMu.Lock()
		defer n.targetsMu.Unlock()
		position := n.targets.position
		return targetsResponse{position.Version, position.Era, n.targets.lastRead()}, nil
	})
}

// syncWithPeers fetches from other instances, until the context ends, a newer
// configuration that they have adopted, a newer list of targets, and any list of
// targets if this instance has none.
func (n *Node) syncWithPeers(ctx context.Context) {
	var behindSince time.Time
	for ctx.Err() == nil {
		n.syncOnce(ctx, &behindSince)
		select {
		case <-ctx.Done():
		case from := <-n.newerTargetsAt:
			n.fetchTargets(ctx, from)
		case <-n.clock.After(fetchCheckInterval):
		}
	}
}

func (n *Node) syncOnce(ctx context.Context, behindSince *time.Time) {
	live := n.peers.live()
	if len(live) == 0 {
		return
	}
	if live[0].configVersion <= n.configuration.Version() {
		*behindSince = time.Time{}
	} else if behindSince.IsZero() {
		*behindSince = n.clock.Now()
	} else if n.clock.Since(*behindSince) >= configurationFetchDelay {
		n.fetchConfiguration(ctx, live[0].address)
	}
	if !n.targetsKnown.Load() {
		n.fetchTargets(ctx, live[0].address)
	}
}

func (n *Node) fetchConfiguration(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	startedAt := n.clock.Now()
	var response configurationResponse
	err := n.bus.Call(ctx, address, methodConfiguration, nil, &response)
	if err == nil {
		var c *catalog.Configuration
		if c, err = n.controlPlane.DecodeConfiguration(response.Source); err == nil {
			n.adopt(c, address)
			return
		}
	}
	n.logger.Warn("cannot fetch configuration from peer", zap.String("from", address), zap.Uint64("in_force", n.configuration.Version()),
		zap.Duration("took", n.clock.Since(startedAt)), eventlog.ErrorField(err))
}

func (n *Node) fetchTargets(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response targetsResponse
	if err := n.bus.Call(ctx, address, methodTargets, nil, &response); err != nil {
		n.logger.Warn("cannot fetch targets from peer", zap.String("from", address), eventlog.ErrorField(err))
		return
	}
	if len(response.Targets) > 0 {
		n.applyTargets(response.Targets, Position{Era: response.Era, Version: response.Position})
	}
}
