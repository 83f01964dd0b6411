package node

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
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

// targetsRequest requests the list of targets.
type targetsRequest struct {
	// Known is the digest of the list that the instance holds; 0 if it holds none.
	// Instances of earlier builds send no request.
	Known uint32 `json:"known,omitempty"`
}

// targetsResponse is the response to methodTargets.
type targetsResponse struct {
	Position uint64 `json:"position"`
	Era      uint64 `json:"era,omitempty"`
	// Base is the digest of the list that Targets and Removed differ from; 0 if Targets
	// is the whole list.
	Base    uint32              `json:"base,omitempty"`
	Targets []*catalog.Target   `json:"targets"`
	Removed []catalog.TargetKey `json:"removed,omitempty"`
}

func (n *Node) registerCallHandlers() {
	n.bus.Handle(methodUpdate, n.handleUpdateRequest)
	n.bus.Handle(methodConfiguration, n.handleConfigurationRequest)
	n.bus.Handle(methodTargets, n.handleTargetsRequest)
	n.bus.Handle(methodQuota, n.handleQuotaRequest)
	n.bus.Handle(methodMembers, n.handleMembersRequest)
	n.bus.Handle(methodTraits, n.handleTraitsRequest)
}

// handleTargetsRequest sends the list of targets, or what has changed in it.
func (n *Node) handleTargetsRequest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request targetsRequest
	if len(params) > 0 {
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, errors.Wrap(err, "decode targets request")
		}
	}
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	response := targetsResponse{Position: n.targets.position.Version, Era: n.targets.position.Era}
	if request.Known != 0 {
		if changed, removed, ok := n.targets.changesSince(request.Known); ok {
			response.Base, response.Targets, response.Removed = request.Known, changed, removed
			return response, nil
		}
	}
	response.Targets = n.targets.lastRead()
	return response, nil
}

// syncWithPeers fetches from other instances, until the context ends, a newer list of
// targets, and any if this instance has none or only a part, and newer traits of services.
func (n *Node) syncWithPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if live := n.peers.live(); len(live) > 0 && n.lacksTargets() {
			n.fetchTargets(ctx, live[0].address)
		}
		select {
		case <-ctx.Done():
		case from := <-n.newerTargetsAt:
			n.fetchTargets(ctx, from)
		case from := <-n.newerTraitsAt:
			n.fetchTraits(ctx, from)
		case <-n.clock.After(fetchCheckInterval):
		}
	}
}

// fetchTargets receives the list of targets, or what has changed in it, from another
// instance.
func (n *Node) fetchTargets(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := targetsRequest{Known: n.targetsDigest()}
	var response targetsResponse
	if err := n.bus.Call(ctx, address, methodTargets, request, &response); err != nil {
		n.logger.Warn("cannot fetch targets from peer", zap.String("from", address), eventlog.ErrorField(err))
		return
	}
	if slices.Contains(response.Targets, nil) {
		n.logger.Warn("list of targets from peer not used, it has an empty entry", zap.String("from", address))
		return
	}
	targets, ok := response.Targets, true
	if response.Base != 0 {
		targets, ok = n.targetsWithChanges(&response)
	}
	if ok && len(targets) > 0 {
		n.applyTargets(targets, Position{Era: response.Era, Version: response.Position}, 0)
	}
}

// targetsDigest identifies the last read of the list of targets.
func (n *Node) targetsDigest() uint32 {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	return n.targets.digest()
}

// targetsWithChanges returns the list of targets with the changes of a response; ok is false
// if they were made from another list.
func (n *Node) targetsWithChanges(response *targetsResponse) (targets []*catalog.Target, ok bool) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	return n.targets.withChanges(response.Base, response.Targets, response.Removed)
}
