package gateway

import (
	"time"

	"go.uber.org/zap"
)

// shutdown is the course of a graceful shutdown.
type shutdown struct {
	// signalledAt is when the instance was told to stop, endsAt when the requests that are
	// in flight then will be cancelled.
	signalledAt, endsAt time.Time
}

// BeginShutdown states that the instance has been told to stop, and when the requests that
// are in flight then will be cancelled by Shutdown.
func (s *Server) BeginShutdown(endsAt time.Time) {
	s.gateway.shutdown.Store(&shutdown{signalledAt: s.gateway.Clock.Now(), endsAt: endsAt})
}

// ConnectionFields returns the open connections by state, and the requests that were received
// and cancelled since the signal to stop, for a log line.
func (s *Server) ConnectionFields() []zap.Field {
	c := s.gateway.Counters
	return []zap.Field{
		zap.Int("connections", s.OpenConnections()), zap.Int64("unused", s.conns[connUnused].Load()), zap.Int64("reading", s.conns[connReading].Load()),
		zap.Int64("serving", s.conns[connServing].Load()), zap.Uint64("received_while_stopping", c.ReceivedWhileStopping.Load()),
		zap.Uint64("cancelled_while_stopping", c.CancelledWhileStopping.Load()),
	}
}

// stoppingFields returns how the request came in, relative to the signal to stop; none before
// that.
func (r *inflightRequest) stoppingFields() []zap.Field {
	plan := r.shutdown.Load()
	if plan == nil {
		return nil
	}
	d := r.request.Delivery
	return []zap.Field{
		zap.Int64("received_after_signal_ms", r.request.ReceivedAt.Sub(plan.signalledAt).Milliseconds()),
		zap.Int("connection_request", d.ConnRequest), zap.Int64("connection_age_ms", d.ConnAge.Milliseconds()),
		zap.Int64("read_ms", d.ReadTime.Milliseconds()),
	}
}
