package node

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/configsync"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// ErrHistoryExpired means that the control plane no longer retains the changes after a
// position; the declarations must be read anew.
var ErrHistoryExpired = errors.New("requested changes are no longer retained by the store")

// declared is what this instance knows of the operator's declarations.
type declared struct {
	history configsync.History

	// mu guards the fields below, and makes the replacement of the configuration in
	// force one step with its record in the history.
	mu sync.Mutex
	// position is the state of the store that the declarations are known of.
	position Position
	// behindSince is when this instance learned that another one has a newer
	// configuration; zero if none has.
	behindSince time.Time
}

// declaredPosition returns the state of the store of which the declarations are known.
func (n *Node) declaredPosition() Position {
	n.declared.mu.Lock()
	defer n.declared.mu.Unlock()
	return n.declared.position
}

// declaredPositionOf returns declaredPosition if no newer configuration than a version is in
// force, and else zero: the newer one may be from before that position.
func (n *Node) declaredPositionOf(version uint64) Position {
	n.declared.mu.Lock()
	defer n.declared.mu.Unlock()
	if n.configuration.Version() > version {
		return Position{}
	}
	return n.declared.position
}

// setDeclaredPosition records the result of an own read or watch.
func (n *Node) setDeclaredPosition(position Position) {
	n.declared.mu.Lock()
	defer n.declared.mu.Unlock()
	n.declared.position = position
}

// adoptDeclaration puts a declared configuration in force if it is newer.
func (n *Node) adoptDeclaration(d *catalog.Declaration, source string) error {
	replaced, err := n.replaceConfiguration(d, source)
	if replaced {
		n.announceConfiguration()
	}
	return errors.Wrap(err, "replace configuration")
}

// replaceConfiguration is adoptDeclaration without the announcement. It reports whether the
// configuration is in force now.
func (n *Node) replaceConfiguration(d *catalog.Declaration, source string) (replaced bool, err error) {
	startedAt := n.clock.Now()
	n.declared.mu.Lock()
	defer n.declared.mu.Unlock()
	current := n.configuration.Current()
	if d.Version <= current.Revision().Version {
		return false, nil
	}
	next, change, err := current.Replace(d.Version, d.Contents)
	if err != nil {
		return false, err
	}
	n.putInForce(next, change, source, zap.Duration("took", n.clock.Since(startedAt)))
	return true, nil
}

// adoptChange puts the configuration in force that a change leads to, which was read
// from the store at a position.
func (n *Node) adoptChange(change *catalog.Change, position Position, source string, details ...zap.Field) error {
	changed, err := n.changeConfiguration(change, position, source, details...)
	if changed {
		n.announceConfiguration()
	}
	return err
}

// changeConfiguration is adoptChange without the announcement. It reports whether the
// configuration is in force now.
func (n *Node) changeConfiguration(change *catalog.Change, position Position, source string, details ...zap.Field) (changed bool, err error) {
	n.declared.mu.Lock()
	defer n.declared.mu.Unlock()
	base := n.configuration.Current()
	if change.From == (catalog.Revision{}) {
		base = nil
	}
	next, err := base.Apply(change)
	if err != nil || next.Version <= n.configuration.Version() {
		return false, err
	}
	n.putInForce(next, change, source, details...)
	if n.declared.position.Before(position) {
		n.declared.position = position
	}
	return true, nil
}

// putInForce replaces the configuration in force. The caller holds declared.mu.
func (n *Node) putInForce(next *catalog.Configuration, change *catalog.Change, source string, details ...zap.Field) {
	n.configuration.Adopt(next)
	n.declared.history.Record(next, change)
	fields := []zap.Field{
		zap.Uint64("config", next.Version), zap.Uint64("before", change.From.Version), zap.String("source", source),
		zap.Int("routes", next.RouteCount()), zap.Int("changed", len(change.Entries)),
	}
	if !n.declared.behindSince.IsZero() {
		fields = append(fields, zap.Duration("known_for", n.clock.Since(n.declared.behindSince)))
	}
	n.logger.Info("configuration in force", append(fields, details...)...)
}

// announceConfiguration tells other instances at once which configuration is in force
// here. They also learn of it by regular gossip, since a message may be lost.
func (n *Node) announceConfiguration() {
	m := n.newMessage(1)
	m.IsIntroduction = true
	t := n.peers.topology()
	recipients := t.recipients
	if t.isAggregator {
		recipients = append(recipients, n.peers.dependents()...)
	}
	n.send(recipients, m)
}

// behindFor returns how long this instance has known that another one has a newer
// configuration; 0 if none has.
func (n *Node) behindFor() time.Duration {
	isBehind := n.peerHasNewerConfiguration()
	n.declared.mu.Lock()
	defer n.declared.mu.Unlock()
	switch {
	case !isBehind:
		n.declared.behindSince = time.Time{}
		return 0
	case n.declared.behindSince.IsZero():
		n.declared.behindSince = n.clock.Now()
	}
	return max(1, n.clock.Since(n.declared.behindSince))
}

// logInvalidConfiguration logs a configuration that cannot be used.
func (n *Node) logInvalidConfiguration(source string, err error) {
	n.logger.Error("configuration not usable; the one in force stays", zap.String("source", source),
		zap.Uint64("config", n.configuration.Version()), eventlog.ErrorField(err))
}
