package membership

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

// StaticViewer is a Viewer whose view is set by its user. It serves tests and
// single instances.
type StaticViewer struct {
	view atomic.Pointer[View]

	// mu guards listeners and serializes changes.
	mu        sync.Mutex
	listeners []func(*View)
}

// NewStaticViewer returns a Viewer that shows self and the others.
func NewStaticViewer(self Member, others ...Member) *StaticViewer {
	s := &StaticViewer{}
	s.view.Store(newView(1, self, others))
	return s
}

// View implements Viewer.
func (s *StaticViewer) View() *View { return s.view.Load() }

// OnChange implements Viewer.
func (s *StaticViewer) OnChange(listener func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// SetOthers replaces the other members and calls the listeners.
func (s *StaticViewer) SetOthers(others ...Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	next := newView(old.Sequence+1, old.Self, others)
	s.view.Store(next)
	for _, listener := range s.listeners {
		listener(next)
	}
}

func newView(sequence uint64, self Member, others []Member) *View {
	members := append([]Member{self}, others...)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return &View{Sequence: sequence, Self: self, Members: members}
}

// LocalRumors stores rumors and passes them to the LocalRumors it is connected
// with. It serves tests and single instances.
type LocalRumors struct {
	// mu guards the fields below.
	mu          sync.Mutex
	rumors      map[RumorKind]map[string]Rumor
	subscribers map[RumorKind][]func(Rumor)
	peers       []*LocalRumors
}

// NewLocalRumors returns an empty set of rumors.
func NewLocalRumors() *LocalRumors {
	return &LocalRumors{
		rumors:      make(map[RumorKind]map[string]Rumor),
		subscribers: make(map[RumorKind][]func(Rumor)),
	}
}

// ConnectLocalRumors connects the sets, so that each rumor published at one of
// them is delivered to all.
func ConnectLocalRumors(sets ...*LocalRumors) {
	for _, set := range sets {
		set.mu.Lock()
		set.peers = sets
		set.mu.Unlock()
	}
}

// Publish implements Rumors.
func (l *LocalRumors) Publish(r Rumor) {
	l.mu.Lock()
	peers := l.peers
	l.mu.Unlock()
	l.merge(r)
	for _, peer := range peers {
		if peer != l {
			peer.merge(r)
		}
	}
}

// Subscribe implements Rumors.
func (l *LocalRumors) Subscribe(kind RumorKind, subscriber func(Rumor)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers[kind] = append(l.subscribers[kind], subscriber)
}

// RumorsOfKind implements Rumors.
func (l *LocalRumors) RumorsOfKind(kind RumorKind) []Rumor {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rumors []Rumor
	for _, r := range l.rumors[kind] {
		rumors = append(rumors, r)
	}
	slices.SortFunc(rumors, func(a, b Rumor) int { return cmp.Compare(a.Subject, b.Subject) })
	return rumors
}

func (l *LocalRumors) merge(r Rumor) {
	l.mu.Lock()
	rumors := l.rumors[r.Kind]
	if rumors == nil {
		rumors = make(map[string]Rumor)
		l.rumors[r.Kind] = rumors
	}
	old, ok := rumors[r.Subject]
	if ok && old.Rank >= r.Rank {
		l.mu.Unlock()
		return
	}
	rumors[r.Subject] = r
	subscribers := slices.Clone(l.subscribers[r.Kind])
	l.mu.Unlock()
	for _, subscriber := range subscribers {
		subscriber(r)
	}
}
