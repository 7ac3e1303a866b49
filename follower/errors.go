package follower

// TimeoutError says that a member's stream said nothing for too long.
type TimeoutError struct{ Address string }

// Error describes the silence.
func (e *TimeoutError) Error() string { return "no word from " + e.Address }

// StaleHoldingsError says that what a member told of engines' holdings has grown old.
type StaleHoldingsError struct{ Address string }

// Error describes the state.
func (e *StaleHoldingsError) Error() string {
	return "the holdings told by " + e.Address + " have grown old"
}

// NotLeaderError says that another member leads and is followed instead.
type NotLeaderError struct{ Leader string }

// Error names the leader.
func (e *NotLeaderError) Error() string { return "the leader is at " + e.Leader }

// NoLeaderError says that a member knows no leader, so that another one is
// asked.
type NoLeaderError struct{ Address string }

// Error names the member.
func (e *NoLeaderError) Error() string { return "no leader is known at " + e.Address }

// UnknownUpdateError says that a member sent an update this version does not know.
type UnknownUpdateError struct{}

// Error describes the update.
func (e *UnknownUpdateError) Error() string { return "unknown kind of update" }

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
