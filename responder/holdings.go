package responder

import (
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// confirmInterval is the interval at which unchanged holdings are confirmed to an entry.
// It is less than half of the time for which an entry trusts them.
const confirmInterval = 2 * time.Second

// resendInterval is the interval at which all holdings are sent again. The answer to a
// Want call may arrive after a newer message and overwrite its holdings with older ones.
const resendInterval = 8 * time.Second

// messageRate is the maximum number of heartbeats per second to all entries together, and
// of messages about holdings. Each costs the leader about 60 µs, so that together with
// the entries' messages they take a fifth of the smallest control VM's share of a core.
const messageRate = 140

// batchDelay returns how long changes are batched, which grows with the number of entries.
func (r *Responder) batchDelay() time.Duration {
	return time.Duration(r.entries.countActive()) * time.Second / messageRate
}

// maxHeartbeatInterval is the longest time between two heartbeats. An entry follows
// another member after two seconds without a message.
const maxHeartbeatInterval = 750 * time.Millisecond

// heartbeatInterval returns the time between two heartbeats to an entry.
func (r *Responder) heartbeatInterval() time.Duration {
	return max(r.settings.HeartbeatInterval, min(maxHeartbeatInterval, r.batchDelay()))
}

// PropagationTime returns the time until all entries have received a change. Changes that
// are batched for long are sent with the next heartbeat.
func (r *Responder) PropagationTime() time.Duration {
	delay := r.batchDelay()
	if delay > r.settings.HeartbeatInterval/2 {
		return r.heartbeatInterval()
	}
	return delay
}

// holdingsChanged returns a channel that is closed at the next change; nil if
// this member has no holdings.
func (s *session) holdingsChanged() <-chan struct{} {
	if s.responder.settings.Holdings == nil {
		return nil
	}
	return s.responder.settings.Holdings.Changed()
}

// sendHoldings sends the holdings that changed. Every confirmInterval it sends an empty
// message, which confirms the others.
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
