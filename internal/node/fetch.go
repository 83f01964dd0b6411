package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/configsync"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

const (
	// updateFormat is the format of updates; instances of builds with another one read
	// the configuration from the control plane.
	updateFormat = 1
	// partTimeout bounds the request of one part of an update.
	partTimeout = time.Second
	// sourceBusyDelay is the average delay before instances that send to others are
	// asked again.
	sourceBusyDelay = 40 * time.Millisecond
	// maxSourceRequests bounds the instances asked before the newest version is
	// determined anew.
	maxSourceRequests = 24
	// watcherPatience is how long an instance that watches the declarations waits for
	// them when others have received a newer configuration before.
	watcherPatience = 400 * time.Millisecond
	// storeFallbackDelay is how long an instance tries to receive a newer configuration
	// from others before it reads it itself.
	storeFallbackDelay = 900 * time.Millisecond
	// uploadBitsPerSecond is the part of the link that is reserved for each instance
	// that an update is sent to.
	uploadBitsPerSecond = 5_000_000
	// maxUploads bounds the instances that an update is sent to at a time.
	maxUploads = 16
)

// fetchBackoff spaces out attempts to receive a newer configuration that none of the
// instances could send.
var fetchBackoff = backoff.Policy{Base: 40 * time.Millisecond, Max: time.Second}

// updateRequest requests a part of an update; see package configsync.
type updateRequest struct {
	Format int `json:"format"`
	// Update is the ID of the update; 0 requests the first part of the one from From to
	// the newest revision.
	Update uint64           `json:"update,omitempty"`
	From   catalog.Revision `json:"from"`
	Part   int              `json:"part"`
}

// updateResponse is the response to an updateRequest.
type updateResponse struct {
	// NotNewer is set if the instance has no newer configuration, or no longer the
	// update. Busy is set if it sends to others; Referrals are instances that have
	// received the update.
	NotNewer  bool     `json:"not_newer,omitempty"`
	Busy      bool     `json:"busy,omitempty"`
	Referrals []string `json:"referrals,omitempty"`

	Update    uint64           `json:"update,omitempty"`
	From      catalog.Revision `json:"from"`
	To        catalog.Revision `json:"to"`
	PartCount int              `json:"parts,omitempty"`
	Part      []byte           `json:"part,omitempty"`
	// Position is the state of the store up to which the instance knows the
	// declarations, zero if it has a newer configuration in force than that of the update;
	// Rollouts and EndedRollouts are those that it knows.
	Position      Position         `json:"position"`
	Rollouts      []rollout.Report `json:"rollouts,omitempty"`
	EndedRollouts []rollout.Status `json:"ended_rollouts,omitempty"`
}

// newUploads returns the uploads that the instance's link allows.
func (n *Node) newUploads() *configsync.Uploads {
	limit := maxUploads
	if bits := n.settings.LinkBitsPerSecond; bits > 0 {
		limit = min(limit, int(bits/uploadBitsPerSecond))
	}
	return configsync.NewUploads(n.clock, limit)
}

// handleUpdateRequest sends a part of an update.
func (n *Node) handleUpdateRequest(_ context.Context, from string, params json.RawMessage) (any, error) {
	var request updateRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "decode update request")
	}
	if request.Format != updateFormat {
		return nil, errors.Newf("format %d of updates is not supported", request.Format)
	}
	update, err := n.updateFor(&request)
	if err != nil {
		return nil, err
	}
	if update == nil || request.Part < 0 || request.Part >= len(update.Parts) {
		return updateResponse{NotNewer: true}, nil
	}
	if ok, referrals := n.uploads.Admit(from, update, request.Part); !ok {
		n.updateCounters.Referred.Add(1)
		return updateResponse{Busy: true, Referrals: referrals}, nil
	}
	response := updateResponse{
		Update: update.ID, From: update.From, To: update.To, PartCount: len(update.Parts), Part: update.Parts[request.Part],
	}
	n.updateCounters.BytesSent.Add(uint64(len(response.Part)))
	if request.Part == len(update.Parts)-1 {
		n.addDeclarations(&response)
		n.logger.Info("configuration sent to an instance", zap.String("peer", from), zap.Uint64("config", update.To.Version),
			zap.Uint64("before", update.From.Version), zap.Int("bytes", update.Bytes()), zap.Int("parts", len(update.Parts)))
	}
	return response, nil
}

func (n *Node) updateFor(request *updateRequest) (*configsync.Update, error) {
	if request.Update != 0 {
		return n.declared.history.Update(request.Update), nil
	}
	if request.From.Version >= n.configuration.Version() {
		return nil, nil
	}
	return n.declared.history.UpdateFrom(request.From)
}

// addDeclarations adds the position and the rollouts that are known with it, so that
// the receiver can watch from there.
func (n *Node) addDeclarations(response *updateResponse) {
	position := n.declaredPositionOf(response.To.Version)
	reports, err := n.rollouts.Reports(maxRolloutRecordBytes)
	if err != nil {
		n.logger.Error("cannot encode rollout report", eventlog.ErrorField(err))
		return
	}
	response.Position, response.Rollouts = position, reports
	for _, status := range n.rollouts.Statuses() {
		if status.State != rollout.InProgress {
			response.EndedRollouts = append(response.EndedRollouts, status)
		}
	}
}

// followNewerConfigurations receives newer configurations from the instances that have
// them, until the context ends.
func (n *Node) followNewerConfigurations(ctx context.Context) {
	delays := backoff.New(fetchBackoff, n.newRandom())
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.newerConfiguration:
		case <-n.clock.After(fetchCheckInterval):
		}
		for ctx.Err() == nil && n.needsUpdate() {
			if n.fetchConfiguration(ctx) {
				delays.Reset()
				continue
			}
			_ = backoff.Sleep(ctx, n.clock, delays.Next())
		}
	}
}

// needsUpdate reports whether a newer configuration should be requested from others.
func (n *Node) needsUpdate() bool {
	behind := n.behindFor()
	return behind > 0 && (behind >= watcherPatience || !n.isWatcher())
}

// fetch is the receipt of one update.
type fetch struct {
	*Node
	startedAt time.Time
	// startedFrom is the version in force at the beginning.
	startedFrom uint64
	// sources are the instances still to be asked, the last one first.
	sources  []string
	from     catalog.Revision
	download *configsync.Download
}

// fetchConfiguration receives the newest configuration from other instances. It
// reports whether any was put in force.
func (n *Node) fetchConfiguration(ctx context.Context) bool {
	from := n.configuration.Current().Revision()
	f := &fetch{Node: n, startedAt: n.clock.Now(), startedFrom: from.Version, from: from}
	f.sources = n.peers.withNewerConfiguration(from.Version)
	rand.Shuffle(len(f.sources), func(i, j int) { f.sources[i], f.sources[j] = f.sources[j], f.sources[i] })
	for range maxSourceRequests {
		if len(f.sources) == 0 || ctx.Err() != nil {
			return false
		}
		source := f.sources[len(f.sources)-1]
		if err := f.receiveFrom(ctx, source); err != nil {
			f.updateCounters.Failures.Add(1)
			f.logger.Warn("cannot fetch configuration from peer", zap.String("from", source), zap.Uint64("in_force", f.startedFrom), eventlog.ErrorField(err))
			f.dropSource(source)
		}
		if n.configuration.Version() > f.startedFrom {
			return true
		}
	}
	return false
}

func (f *fetch) dropSource(source string) {
	if last := len(f.sources) - 1; last >= 0 && f.sources[last] == source {
		f.sources = f.sources[:last]
	}
}

// receiveFrom requests parts from one instance until the update is in force, or the
// instance sends no more.
func (f *fetch) receiveFrom(ctx context.Context, source string) error {
	for ctx.Err() == nil {
		response, err := f.requestPart(ctx, source)
		if isUnknownMethod(err) {
			return f.fetchWhole(ctx, source)
		}
		if err != nil {
			return err
		}
		switch {
		case response.Busy:
			f.refer(ctx, source, response.Referrals)
			return nil
		case response.NotNewer && f.download != nil:
			// The instance does not have the update that has been begun elsewhere.
			f.download = nil
			continue
		case response.NotNewer:
			f.dropSource(source)
			return nil
		}
		if err := f.add(ctx, response); err != nil {
			return err
		}
		if f.download.IsComplete() {
			return f.apply(response, source)
		}
	}
	return ctx.Err()
}

func (f *fetch) requestPart(ctx context.Context, source string) (*updateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	request := updateRequest{Format: updateFormat, From: f.from}
	if f.download != nil {
		request.Update, request.Part = f.download.ID, f.download.Next
	}
	var response updateResponse
	err := f.bus.Call(ctx, source, methodUpdate, request, &response)
	return &response, err
}

// isUnknownMethod reports whether an instance of an earlier build was called.
func isUnknownMethod(err error) bool {
	var callError *jsonrpc2.Error
	return errors.As(err, &callError) && callError.Code == jsonrpc2.CodeMethodNotFound
}

// refer goes on with the instances that a busy one names, and returns to it after
// them.
func (f *fetch) refer(ctx context.Context, source string, referrals []string) {
	f.dropSource(source)
	f.sources = append([]string{source}, f.sources...)
	if len(referrals) == 0 {
		_ = backoff.Sleep(ctx, f.clock, time.Duration((0.5+rand.Float64())*float64(sourceBusyDelay)))
		return
	}
	for _, address := range referrals {
		if address != f.settings.PeerAddress {
			f.sources = append(f.sources, address)
		}
	}
}

// add adds a part, and then leaves the processor to requests for as long as it took.
func (f *fetch) add(ctx context.Context, response *updateResponse) error {
	startedAt := f.clock.Now()
	if f.download == nil {
		f.download = &configsync.Download{ID: response.Update, From: response.From, To: response.To, PartCount: response.PartCount}
	}
	if err := f.download.Add(response.Part); err != nil {
		f.download = nil
		return err
	}
	f.updateCounters.BytesReceived.Add(uint64(len(response.Part)))
	if !f.download.IsComplete() {
		_ = backoff.Sleep(ctx, f.clock, f.clock.Since(startedAt))
	}
	return nil
}

// apply puts the configuration in force that a complete update leads to.
func (f *fetch) apply(last *updateResponse, source string) error {
	download := f.download
	f.download = nil
	for i := range last.Rollouts {
		f.applyRolloutReport(last.Rollouts[i], source, f.peers.incarnation(source))
	}
	for _, status := range last.EndedRollouts {
		f.applyRolloutStatus(status, source)
	}
	err := f.adoptChange(download.Change(), last.Position, source,
		zap.Int("bytes", download.Bytes), zap.Int("parts", download.PartCount), zap.Duration("took", f.clock.Since(f.startedAt)))
	switch {
	case !errors.Is(err, catalog.ErrOtherRevision):
		return err
	case f.configuration.Version() != f.startedFrom:
		// Another one has been put in force meanwhile.
		return nil
	}
	// Only all of the configuration can be relied on; the source is asked for it.
	f.from = catalog.Revision{}
	f.sources = append(f.sources, source)
	return err
}

// fetchWhole receives a configuration from an instance of an earlier build.
func (f *fetch) fetchWhole(ctx context.Context, source string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response configurationResponse
	if err := f.bus.Call(ctx, source, methodConfiguration, nil, &response); err != nil {
		return err
	}
	declaration, err := f.controlPlane.DecodeConfiguration(response.Source)
	if err != nil {
		return err
	}
	return f.adoptDeclaration(declaration, source)
}

// handleConfigurationRequest sends all of the configuration to an instance of an earlier
// build, to one at a time.
func (n *Node) handleConfigurationRequest(context.Context, string, json.RawMessage) (any, error) {
	c := n.configuration.Current()
	if c == nil {
		return nil, errors.New("no configuration is known")
	}
	if !n.encoding.TryLock() {
		return nil, errors.New("the configuration is being sent to another instance")
	}
	defer n.encoding.Unlock()
	source, err := n.controlPlane.EncodeConfiguration(c)
	return configurationResponse{source}, err
}
