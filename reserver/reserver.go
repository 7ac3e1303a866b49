// Package reserver requests permits for rate-limited upstreams from the leader of the
// control group, and announces to it the limits that this entry has observed.
package reserver

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/registrar"
	"burdocklink/router"
)

// Name is the service's name in the kernel.
const Name = "reserver"

const (
	// requestTimeout bounds the wait for the leader's answer. A permit is not
	// useful for much longer.
	requestTimeout = 500 * time.Millisecond
	// initialBackoff is the backoff after the first unanswered request; each
	// further one doubles it, up to maxBackoff, which is about the length of an
	// election.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxPause bounds the pause that a leader can request.
	maxPause = 10 * time.Second
	// pollInterval is how often to check for a new leader, to which the known limits
	// must be announced.
	pollInterval = 250 * time.Millisecond
)

// Settings configure a Reserver.
type Settings struct {
	// Entry is the name of this entry.
	Entry string
	Links *linker.Linker
	// Leader returns the last known address of the leader, or an empty string.
	Leader func() string
	Router *router.Router
	// Wake is called after each answer of the leader, when more requests may be
	// sent.
	Wake func()
	Log  *zap.Logger
}

// Reserver is the service.
type Reserver struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	// backoff is the wait before the next request; zero after a request that was
	// answered.
	backoff time.Duration
}

// New returns a reserver that has not been started.
func New(settings Settings) *Reserver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reserver{settings: settings, ctx: ctx, cancel: cancel, stopped: make(chan struct{})}
}

// String returns the service name.
func (r *Reserver) String() string { return Name }

// Start starts the requests to the leader.
func (r *Reserver) Start(context.Context, *registrar.Registrar) error {
	go r.run()
	return nil
}

// Stop cancels the request in flight and waits for run to return.
func (r *Reserver) Stop(time.Time) error {
	r.cancel()
	<-r.stopped
	return nil
}

// run polls when requests wait for permits, when something is due, and at least
// once in each pollInterval.
func (r *Reserver) run() {
	defer close(r.stopped)
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.settings.Router.ReservationsDue():
		case <-timer.C:
		}
		pause, next := r.poll(time.Now())
		if pause > 0 && !linker.Sleep(r.ctx, pause) {
			return
		}
		timer.Reset(delayUntil(next, time.Now()))
	}
}

// delayUntil returns the time to the next poll.
func delayUntil(next, now time.Time) time.Duration {
	if next.IsZero() {
		return pollInterval
	}
	return max(0, min(pollInterval, next.Sub(now)))
}

// poll sends what is due to the leader. It returns the least time to the next poll,
// and when more is due; zero for never.
func (r *Reserver) poll(now time.Time) (time.Duration, time.Time) {
	leader := r.settings.Leader()
	if leader == "" {
		return 0, time.Time{}
	}
	requests, next := r.settings.Router.ReservationRequests(now, leader)
	if len(requests) == 0 {
		return 0, next
	}
	reply, err := r.reserve(leader, requests, now)
	answered := err == nil && reply.GetLeading()
	r.settings.Router.FinishReservationRequests(leader, requests, answered)
	if !answered {
		r.backoff = min(maxBackoff, max(initialBackoff, 2*r.backoff))
		r.settings.Log.Info("reservation request failed", zap.String("leader", leader), zap.Int("upstreams", len(requests)),
			zap.Duration("took", time.Since(now)), zap.Duration("pause", r.backoff), zap.Error(err))
		// jitter spreads out the entries that lost the same leader
		return r.backoff/2 + rand.N(r.backoff), next
	}
	r.backoff = 0
	reservations := encoder.DecodeReservations(reply.GetReservations(), now, time.Now())
	r.settings.Router.AddReservations(reservations)
	r.logReservations(leader, requests, reservations, now)
	r.settings.Wake()
	return min(time.Duration(reply.GetPauseMs())*time.Millisecond, maxPause), next
}

func (r *Reserver) reserve(leader string, requests []router.ReservationRequest, now time.Time) (*wire.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, requestTimeout)
	defer cancel()
	link, err := r.settings.Links.Connect(leader)
	if err != nil {
		return nil, err
	}
	reply, err := wire.NewControlClient(link).Reserve(ctx, encoder.EncodeReservationRequests(r.settings.Entry, requests, now))
	if ctx.Err() == context.DeadlineExceeded {
		r.settings.Links.Drop(leader, link)
	}
	return reply, err
}

// logReservations logs the permits for each upstream.
func (r *Reserver) logReservations(leader string, requests []router.ReservationRequest, reservations []router.Reservation, now time.Time) {
	wanted := make(map[string]router.ReservationRequest, len(requests))
	for _, request := range requests {
		wanted[request.Upstream+request.Incarnation] = request
	}
	for _, reservation := range reservations {
		request := wanted[reservation.Upstream+reservation.Incarnation]
		r.settings.Log.Info("requests reserved", zap.String("upstream", reservation.Upstream), zap.String("leader", leader),
			zap.Float64("per-second", request.PerSecond), zap.Duration("age", now.Sub(request.At)),
			zap.Int("wanted", request.Wanted), zap.Int("reserved", len(reservation.Permits)), zap.Time("ask-at", reservation.RetryAt),
			zap.Duration("took", time.Since(now)))
	}
}
