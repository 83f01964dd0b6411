package node

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// Methods of calls between instances.
const (
	methodUpdate  = "configuration_update"
	methodTargets = "targets"
	// methodConfiguration is used with instances of earlier builds.
	methodConfiguration = "configuration"
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
	n.bus.Handle(methodUpdate, n.handleUpdateRequest)
	n.bus.Handle(methodConfiguration, n.handleConfigurationRequest)
	n.bus.Handle(methodTargets, func(context.Context, string, json.RawMessage) (any, error) {
		n.targetsMu.Lock()
		defer n.targetsMu.Unlock()
		position := n.targets.position
		return targetsResponse{position.Version, position.Era, n.targets.lastRead()}, nil
	})
}

// syncWithPeers fetches from other instances, until the context ends, a newer list of
// targets, and any if this instance has none.
func (n *Node) syncWithPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if live := n.peers.live(); len(live) > 0 && !n.targetsKnown.Load() {
			n.fetchTargets(ctx, live[0].address)
		}
		select {
		case <-ctx.Done():
		case from := <-n.newerTargetsAt:
			n.fetchTargets(ctx, from)
		case <-n.clock.After(fetchCheckInterval):
		}
	}
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
