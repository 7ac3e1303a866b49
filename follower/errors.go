package follower

// SilentError says that a member's stream said nothing for too long.
type SilentError struct{ Address string }

// Error describes the silence.
func (e *SilentError) Error() string { return "no word from " + e.Address }

// LapsedError says that what a member told of engines' holdings has grown old.
type LapsedError struct{ Address string }

// Error describes the state.
func (e *LapsedError) Error() string { return "the holdings told by " + e.Address + " have grown old" }

// ElsewhereError says that another member leads and is followed instead.
type ElsewhereError struct{ Leader string }

// Error names the leader.
func (e *ElsewhereError) Error() string { return "the leader is at " + e.Leader }

// LeaderlessError says that a member knows no leader, so that another one is
// asked.
type LeaderlessError struct{ Address string }

// Error names the member.
func (e *LeaderlessError) Error() string { return "no leader is known at " + e.Address }

// UpdateError says that a member sent an update this version does not know.
type UpdateError struct{}

// Error describes the update.
func (e *UpdateError) Error() string { return "unknown kind of update" }

// NotInForceError says that no catalog is in force yet.
type NotInForceError struct{}

// Error describes the state.
func (e *NotInForceError) Error() string { return "no confirmed revision is in force yet" }

// IsolatedError says that neither the control members nor enough peers are
// heard.
type IsolatedError struct{}

// Error describes the state.
func (e *IsolatedError) Error() string {
	return "neither a quorum of control members nor a majority of entries is heard"
}
