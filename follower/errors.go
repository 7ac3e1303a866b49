package follower

// TimeoutError reports that a member's stream received no update within the
// timeout.
type TimeoutError struct{ Address string }

// Error describes the timeout.
func (e *TimeoutError) Error() string { return "no word from " + e.Address }

// UnreachableError reports that no connection to a member was established in time.
type UnreachableError struct{ Address string }

// Error describes the failure.
func (e *UnreachableError) Error() string { return "no connection to " + e.Address }

// StaleHoldingsError reports that a member confirmed the engines' holdings too
// late: those received on the stream have expired.
type StaleHoldingsError struct{ Address string }

// Error describes the state.
func (e *StaleHoldingsError) Error() string {
	return "the holdings told by " + e.Address + " have grown old"
}

// NotLeaderError reports that another member leads and is followed instead.
type NotLeaderError struct{ Leader string }

// Error names the leader.
func (e *NotLeaderError) Error() string { return "the leader is at " + e.Leader }

// NoLeaderError reports that a member knows no leader, so that another member is
// tried.
type NoLeaderError struct{ Address string }

// Error names the member.
func (e *NoLeaderError) Error() string { return "no leader is known at " + e.Address }

// UnknownUpdateError reports an update of a kind that this version does not know.
type UnknownUpdateError struct{}

// Error describes the update.
func (e *UnknownUpdateError) Error() string { return "unknown kind of update" }

// NotInForceError reports that no catalog is in force yet.
type NotInForceError struct{}

// Error describes the state.
func (e *NotInForceError) Error() string { return "no confirmed revision is in force yet" }

// IsolatedError reports that neither a quorum of control members nor a majority
// of entries is reachable.
type IsolatedError struct{}

// Error describes the state.
func (e *IsolatedError) Error() string {
	return "neither a quorum of control members nor a majority of entries is heard"
}
