package responder

import (
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// confirmInterval is the time after which an entry is told that what engines hold
// still is what it was told: less than half of the time for which the word
// counts.
const confirmInterval = 2 * time.Second

// resendInterval is the time after which an entry is told all holdings anew. An
// answer to a question that was overtaken by a newer word may have put an older
// one in its place.
const resendInterval = 8 * time.Second

// messageRate is how many heartbeats all entries together are sent in a second at
// most, and how many messages about holdings. Each takes a leader about 60 µs, so
// that with the entries' reports a fifth of the smallest control VM's share of a
// core goes into them.
const messageRate = 140

// batchDelay is for how long messages are gathered: longer with more entries.
func (r *Responder) batchDelay() time.Duration {
	return time.Duration(r.entries.countActive()) * time.Second / messageRate
}

// maxHeartbeatInterval is the longest time between two heartbeats: an entry leaves a member
// that it has not heard of for two seconds.
const maxHeartbeatInterval = 750 * time.Millisecond

// heartbeatInterval is the time between two heartbeats to an entry.
func (r *Responder) heartbeatInterval() time.Duration {
	return max(r.settings.HeartbeatInterval, min(maxHeartbeatInterval, r.batchDelay()))
}

// PropagationTime is the time in which entries hear of a change. Changes that are
// gathered for long go with the next heartbeat.
func (r *Responder) PropagationTime() time.Duration {
	delay := r.batchDelay()
	if delay > r.settings.HeartbeatInterval/2 {
		return r.heartbeatInterval()
	}
	return delay
}

// holdingsChanged returns a channel that is closed at the next change; nil where
// this member does not know what engines hold.
func (s *session) holdingsChanged() <-chan struct{} {
	if s.responder.settings.Holdings == nil {
		return nil
	}
	return s.responder.settings.Holdings.Changed()
}

// sendHoldings tells what engines hold where that changed. Once in a while it
// says that the rest stands, by a message that names nothing.
func (s *session) sendHoldings(now time.Time) error {
	if s.responder.settings.Holdings == nil || !s.responder.settings.Group.Status().Leading {
		return nil
	}
	if !now.Before(s.resendHoldingsAt) {
		s.holdingsSerial, s.resendHoldingsAt = 0, now.Add(resendInterval)
	}
	holdings, serial := s.responder.settings.Holdings.Held(s.holdingsSerial)
	s.holdingsSerial = serial
	if len(holdings) == 0 && now.Before(s.confirmHoldingsAt) {
		return nil
	}
	if !now.Before(s.confirmHoldingsAt) {
		s.confirmHoldingsAt = now.Add(confirmInterval)
		if err := s.sendHoldingsMessage(nil); err != nil {
			return err
		}
	}
	s.sendHoldingsAt = now.Add(s.responder.PropagationTime())
	if len(holdings) == 0 {
		return nil
	}
	return s.sendHoldingsMessage(holdings)
}

func (s *session) sendHoldingsMessage(holdings []surveyor.EngineHoldings) error {
	return s.stream.Send(&wire.FollowReply{Update: &wire.FollowReply_Holdings{
		Holdings: &wire.Holdings{Holdings: encoder.EncodeHoldings(holdings)},
	}})
}
