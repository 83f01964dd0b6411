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

// Methods that instances call at each other.
const (
	methodConfiguration = "configuration"
	methodTargets       = "targets"
)

// heldConfiguration is the answer to methodConfiguration.
type heldConfiguration struct {
	Source []byte `json:"source,omitempty"`
}

// heldTargets is the answer to methodTargets.
type heldTargets struct {
	Position uint64            `json:"position"`
	Targets  []*catalog.Target `json:"targets"`
}

func (n *Node) handleCalls() {
	n.bus.Handle(methodConfiguration, func(context.Context, string, json.RawMessage) (any, error) {
		if c := n.holder.Current(); c != nil {
			return heldConfiguration{c.Source}, nil
		}
		return nil, errors.New("no configuration is known")
	})
	n.bus.Handle(methodTargets, func(context.Context, string, json.RawMessage) (any, error) {
		n.targetsMu.Lock()
		defer n.targetsMu.Unlock()
		return heldTargets{n.targets.position, n.targets.list()}, nil
	})
}

// catchUp asks other instances for what they know better, until the context
// ends: a newer configuration, and targets when none are known.
func (n *Node) catchUp(ctx context.Context) {
	var behindSince time.Time
	for ctx.Err() == nil {
		n.catchUpOnce(ctx, &behindSince)
		select {
		case <-ctx.Done():
		case from := <-n.newerTargets:
			n.fetchTargets(ctx, from)
		case <-n.clock.After(fetchPeriod):
		}
	}
}

func (n *Node) catchUpOnce(ctx context.Context, behindSince *time.Time) {
	live := n.peers.live()
	if len(live) == 0 {
		return
	}
	if live[0].config <= n.holder.Version() {
		*behindSince = time.Time{}
	} else if behindSince.IsZero() {
		*behindSince = n.clock.Now()
	} else if n.clock.Since(*behindSince) >= fetchDelay {
		n.fetchConfiguration(ctx, live[0].address)
	}
	if !n.knowsTargets.Load() {
		n.fetchTargets(ctx, live[0].address)
	}
}

func (n *Node) fetchConfiguration(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var held heldConfiguration
	err := n.bus.Call(ctx, address, methodConfiguration, nil, &held)
	if err == nil {
		var c *catalog.Configuration
		if c, err = n.control.DecodeConfiguration(held.Source); err == nil {
			n.adopt(c, address)
			return
		}
	}
	n.logger.Warn("configuration not fetched", zap.String("from", address), eventlog.Cause(err))
}

func (n *Node) fetchTargets(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var held heldTargets
	if err := n.bus.Call(ctx, address, methodTargets, nil, &held); err != nil {
		n.logger.Warn("targets not fetched", zap.String("from", address), eventlog.Cause(err))
		return
	}
	if len(held.Targets) > 0 {
		n.applyTargets(held.Targets, held.Position)
	}
}
