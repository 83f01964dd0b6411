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
	// Service is the hash of the service's name.
	Service uint32
	// Waiting counts by priority, without those that hold out for a better
	// target although others have room.
	Waiting [PriorityCount]uint16
}

// Report is the whole load of one instance. It states absolute values, so
// that lost and repeated reports do no harm.
type Report struct {
	Loads  []TargetLoad
	Queues []ServiceQueue
}

// received is a report with the time at which it came in.
type received struct {
	report *Report
	at     time.Time
}

// Hash names targets and services in reports.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Report returns this instance's own load. With all set it also tells what it
// knows of targets on which it runs nothing.
func (s *Scheduler) Report(all bool) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := &Report{}
	for _, t := range s.targets {
		if t.own > 0 || (all && t.perToken.known()) {
			report.Loads = append(report.Loads, TargetLoad{
				Target: Hash(t.info.ID), Running: uint16(t.own),
				Prefilling: uint16(min(t.prefilling/prefillUnit, 1<<16-1)),
				PerToken:   uint16(min(t.perToken.duration()/paceUnit, 1<<16-1)),
			})
		}
	}
	for name, sv := range s.services {
		queue := ServiceQueue{Service: Hash(name)}
		any := 0
		for p, waiting := range sv.waiting {
			for _, w := range waiting {
				if !w.holding {
					queue.Waiting[p]++
					any++
				}
			}
		}
		if any > 0 {
			report.Queues = append(report.Queues, queue)
		}
	}
	return report
}

// Hear takes the report of another instance.
func (s *Scheduler) Hear(from string, report *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[from] = &received{report: report, at: s.clock.Now()}
	s.applyReports()
	s.pumpAll()
}

// applyReports adds up what the other instances run. The lock is held.
func (s *Scheduler) applyReports() {
	now := s.clock.Now()
	loads := make(map[uint32]*target, len(s.targets))
	for _, t := range s.targets {
		t.others, t.othersPrefilling = 0, 0
		loads[Hash(t.info.ID)] = t
	}
	queues := make(map[uint32]*service, len(s.services))
	for name, sv := range s.services {
		sv.elsewhere = [PriorityCount]int{}
		queues[Hash(name)] = sv
	}
	for from, r := range s.reports {
		if now.Sub(r.at) > reportLife {
			delete(s.reports, from)
			continue
		}
		for _, load := range r.report.Loads {
			if t := loads[load.Target]; t != nil {
				t.others += int(load.Running)
				t.othersPrefilling += int(load.Prefilling) * prefillUnit
				if load.PerToken > 0 && !t.perToken.known() {
					t.perToken.observe(time.Duration(load.PerToken) * paceUnit)
				}
			}
		}
		for _, queue := range r.report.Queues {
			if sv := queues[queue.Service]; sv != nil {
				for p, n := range queue.Waiting {
					sv.elsewhere[p] += int(n)
				}
			}
		}
	}
}
