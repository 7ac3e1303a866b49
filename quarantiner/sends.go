package quarantiner

// maxSendCrashes is the number of upstreams that may crash under one request of an entry
// before it is no longer sent. One crash may have another cause.
const maxSendCrashes = 2

// Sends are the crashes of upstreams under one request of an entry.
type Sends struct {
	// Crashed is set if the last upstream crashed before the end of its answer.
	Crashed bool
	// beginning is set if that upstream was beginning to answer.
	beginning bool
	// crashes counts the upstreams that crashed.
	crashes int
}

// Begin clears Crashed for the next send.
func (s *Sends) Begin() { s.Crashed = false }

// Crash records that the last upstream crashed.
func (s *Sends) Crash(stage Stage) {
	s.Crashed, s.beginning = true, stage == StageBeginning
	s.crashes++
}

// Repeated reports whether an upstream has crashed before.
func (s *Sends) Repeated() bool { return s.crashes > 0 }

// MayRetry reports whether the request may be sent again. An upstream that was beginning to
// answer it has most likely crashed for its sake.
func (s *Sends) MayRetry() bool { return !s.Crashed || (!s.beginning && s.crashes < maxSendCrashes) }
