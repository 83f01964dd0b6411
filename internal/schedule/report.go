package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportLife is how long another instance's report counts. One that is silent
// for longer has probably died, and its requests with it.
const reportLife = time.Second

// TargetLoad is what one instance runs on one target.
type TargetLoad struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Target is TargetHash of the target's identity.
	Target uint32
	// Running is the number of requests.
	Running uint16
	// Prefilling is the number of prompt tokens without a first event yet, in
	// units of prefillUnit.
	Prefilling uint16
	// PerToken is the target's time per output token in units of paceUnit; 0
	// when it is not known.
	PerToken uint16
}

// paceUnit is the unit of times per token in reports.
const paceUnit = 10 * time.Microsecond

const prefillUnit = 64

// ServiceQueue is what waits at one instance for one service.
type ServiceQueue struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Service is the hash of the service's name.
	Service uint32
	// Waiting counts by priority, without those that hold out for a better
	// target although others have room.
	Waiting [PriorityCount]uint16
}

// Report is the load of one instance. It states absolute values, so that lost
// and repeated reports do no harm.
type Report struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Partial reports hold only the targets whose load has changed.
	Partial bool
	Loads   []TargetLoad
	Queues  []ServiceQueue
}

// peerLoad is what another instance has reported; Scheduler.mu guards it.
type peerLoad struct {
	loads  map[uint32]TargetLoad
	queues []ServiceQueue
	at     time.Time
	// counted is set while the loads are part of the targets' sums.
	counted bool
}

// Hash names targets and services in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Report returns this instance's whole load. With all set it also tells what
// it knows of targets on which it runs nothing.
func (s *Scheduler) Report(all bool) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.changed)
	report := &Report{Queues: s.queues()}
	for _, t := range s.targets {
		if t.own > 0 || (all && t.perToken.known()) {
			report.Loads = append(report.Loads, t.load())
		}
	}
	return report
}

// Changes returns the load of the targets on which it has changed since the
// last report, as far as others should hear of it at once; nil when there are
// none.
func (s *Scheduler) Changes() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changed) == 0 {
		return nil
	}
	report := &Report{Partial: true, Queues: s.queues()}
	for t := range s.changed {
		report.Loads = append(report.Loads, t.load())
	}
	clear(s.changed)
	return report
}

func (t *target) load() TargetLoad {
	const most = 1<<16 - 1
	return TargetLoad{
		Target: t.hash, Running: uint16(t.own),
		Prefilling: uint16(min(t.prefilling/prefillUnit, most)),
		PerToken:   uint16(min(t.perToken.duration()/paceUnit, most)),
	}
}

// queues returns what waits here. The lock is held.
func (s *Scheduler) queues() []ServiceQueue {
	var queues []ServiceQueue
	for name, sv := range s.services {
		queue := ServiceQueue{Service: Hash(name)}
		any := false
		for p, waiting := range sv.waiting {
			for _, w := range waiting {
				if !w.holding {
					queue.Waiting[p]++
					any = true
				}
			}
		}
		if any {
			queues = append(queues, queue)
		}
	}
	return queues
}

// newsTokens is the shortest prompt of which other instances should hear at
// once: reading it delays what is sent behind it noticeably.
const newsTokens = 3000

// nearlyFull is the number of free places of a target below which other
// instances should hear of each change at once, so that they do not all take
// the same place.
const nearlyFull = 3

// tell notes a change of the target's load, for Changes. The lock is held.
func (s *Scheduler) tell(t *target, tokens int) {
	if tokens < newsTokens && t.info.Slots-t.running() > nearlyFull {
		return
	}
	s.changed[t] = struct{}{}
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// News is signalled when Changes has something to report.
func (s *Scheduler) News() <-chan struct{} { return s.news }

// gathered is the name under which the sum of all other instances is kept, as
// told by an instance that gathers reports.
const gathered = ""

// Hear takes the report of another instance.
func (s *Scheduler) Hear(from string, report *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(from, report)
	s.pumpAll()
}

// HearGathered takes the sum of the reports of all other instances. While it
// is fresh, it stands in for the reports of single ones. Instances counts all
// that share the work, with this one.
func (s *Scheduler) HearGathered(report *Report, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(gathered, report)
	if !report.Partial {
		now := s.clock.Now()
		for _, sv := range s.services {
			sv.allow(now, instances, s.random.Float64())
		}
	}
	s.pumpAll()
}

// allow sets how many requests may start here until the next sum: this
// instance's part of the places that are free now, by what waits here and
// elsewhere. Sums are some hundred milliseconds old, and without it all
// instances would take the same places. U is uniform in [0, 1).
func (sv *service) allow(now time.Time, instances int, u float64) {
	own, elsewhere := 0, 0
	for p := range sv.waiting {
		own += len(sv.waiting[p])
		elsewhere += sv.elsewhere[p]
	}
	share := 1 / float64(max(1, instances))
	if own > 0 {
		share = max(share, float64(own)/float64(own+elsewhere))
	}
	sv.allowance = int(float64(sv.free(now))*share + u)
}

// take replaces what is known of an instance. The lock is held.
func (s *Scheduler) take(from string, report *Report) {
	now := s.clock.Now()
	p := s.peers[from]
	if p == nil {
		p = &peerLoad{loads: make(map[uint32]TargetLoad)}
		s.peers[from] = p
	}
	s.count(p, false)
	p.at = now
	if !report.Partial {
		clear(p.loads)
	}
	for _, load := range report.Loads {
		p.loads[load.Target] = load
		if t := s.byHash[load.Target]; t != nil && load.PerToken > 0 && !t.perToken.known() {
			t.perToken.observe(time.Duration(load.PerToken) * paceUnit)
		}
	}
	p.queues = report.Queues
	s.recount(now)
}

// recount drops instances that are silent and lets those count that should.
// The lock is held.
func (s *Scheduler) recount(now time.Time) {
	for from, p := range s.peers {
		if now.Sub(p.at) > reportLife {
			s.count(p, false)
			delete(s.peers, from)
		}
	}
	sum := s.peers[gathered]
	for from, p := range s.peers {
		s.count(p, sum == nil || from == gathered)
	}
}

// count adds a report to the sums of the targets and queues, or takes it off.
// The lock is held.
func (s *Scheduler) count(p *peerLoad, counted bool) {
	if p.counted == counted {
		return
	}
	p.counted = counted
	sign := 1
	if !counted {
		sign = -1
	}
	for hash, load := range p.loads {
		if t := s.byHash[hash]; t != nil {
			t.others += sign * int(load.Running)
			t.othersPrefilling += sign * int(load.Prefilling) * prefillUnit
		}
	}
	for _, queue := range p.queues {
		if sv := s.serviceByHash[queue.Service]; sv != nil {
			for priority, n := range queue.Waiting {
				sv.elsewhere[priority] += sign * int(n)
			}
		}
	}
}

// recountAll builds the sums anew, as after a change of the targets. The lock
// is held.
func (s *Scheduler) recountAll() {
	s.byHash = make(map[uint32]*target, len(s.targets))
	for _, t := range s.targets {
		t.others, t.othersPrefilling = 0, 0
		s.byHash[t.hash] = t
	}
	s.serviceByHash = make(map[uint32]*service, len(s.services))
	for name, sv := range s.services {
		sv.elsewhere = [PriorityCount]int{}
		s.serviceByHash[Hash(name)] = sv
	}
	for _, p := range s.peers {
		p.counted = false
	}
	s.recount(s.clock.Now())
}

// Gather returns the sum of this instance's load and that of all it hears of,
// without one of them, for whom it is meant. It is empty while this instance
// itself lives by a gathered sum.
func (s *Scheduler) Gather(without string) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.peers[without]
	report := &Report{}
	for hash, t := range s.byHash {
		load := TargetLoad{Target: hash}
		running, prefilling := t.running(), t.reading()
		if own != nil && own.counted {
			running -= int(own.loads[hash].Running)
			prefilling -= int(own.loads[hash].Prefilling) * prefillUnit
		}
		if running <= 0 && prefilling <= 0 {
			continue
		}
		load.Running = uint16(max(0, running))
		load.Prefilling = uint16(min(max(0, prefilling)/prefillUnit, 1<<16-1))
		load.PerToken = uint16(min(t.perToken.duration()/paceUnit, 1<<16-1))
		report.Loads = append(report.Loads, load)
	}
	report.Queues = s.gatherQueues(own)
	return report
}

func (s *Scheduler) gatherQueues(without *peerLoad) []ServiceQueue {
	sums := make(map[uint32]*ServiceQueue)
	add := func(queues []ServiceQueue) {
		for _, queue := range queues {
			sum := sums[queue.Service]
			if sum == nil {
				sum = &ServiceQueue{Service: queue.Service}
				sums[queue.Service] = sum
			}
			for priority, n := range queue.Waiting {
				sum.Waiting[priority] += n
			}
		}
	}
	add(s.queues())
	for _, p := range s.peers {
		if p != without && p.counted {
			add(p.queues)
		}
	}
	queues := make([]ServiceQueue, 0, len(sums))
	for _, sum := range sums {
		queues = append(queues, *sum)
	}
	return queues
}
