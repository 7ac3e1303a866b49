package responder

import (
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// standInterval is the time after which an entry is told that what engines hold
// still is what it was told: less than half of the time for which the word
// counts.
const standInterval = 2 * time.Second

// retellInterval is the time after which an entry is told all holdings anew. An
// answer to a question that was overtaken by a newer word may have put an older
// one in its place.
const retellInterval = 8 * time.Second

// messageRate is how many heartbeats all entries together are sent in a second at
// most, and how many messages about holdings. Each takes a leader about 60 µs, so
// that with the entries' reports a fifth of the smallest control VM's share of a
// core goes into them.
const messageRate = 140

// gatherTime is for how long messages are gathered: longer with more entries.
func (r *Responder) gatherTime() time.Duration {
	return time.Duration(r.entries.following()) * time.Second / messageRate
}

// longestBeat is the longest time between two heartbeats: an entry leaves a member
// that it has not heard of for two seconds.
const longestBeat = 750 * time.Millisecond

// beatTime is the time between two heartbeats to an entry.
func (r *Responder) beatTime() time.Duration {
	return max(r.settings.Pulse, min(longestBeat, r.gatherTime()))
}

// TellTime is the time in which entries hear of a change. Changes that are
// gathered for long go with the next heartbeat.
func (r *Responder) TellTime() time.Duration {
	gathered := r.gatherTime()
	if gathered > r.settings.Pulse/2 {
		return r.beatTime()
	}
	return gathered
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
	if !now.Before(s.retellAt) {
		s.heldSerial, s.retellAt = 0, now.Add(retellInterval)
	}
	told, serial := s.responder.settings.Holdings.Held(s.heldSerial)
	s.heldSerial = serial
	if len(told) == 0 && now.Before(s.standAt) {
		return nil
	}
	if !now.Before(s.standAt) {
		s.standAt = now.Add(standInterval)
		if err := s.sendHeld(nil); err != nil {
			return err
		}
	}
	s.tellAt = now.Add(s.responder.TellTime())
	if len(told) == 0 {
		return nil
	}
	return s.sendHeld(told)
}

func (s *session) sendHeld(told []surveyor.EngineHoldings) error {
	return s.stream.Send(&wire.FollowReply{Update: &wire.FollowReply_Holdings{
		Holdings: &wire.Holdings{Holdings: encoder.EncodeHoldings(told)},
	}})
}
