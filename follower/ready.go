package follower

import "time"

// maxConfirmationAge is the age of the last confirmation from which on the entry
// counts as cut off from the control members.
const maxConfirmationAge = 3 * time.Second

// Peers tracks the reachability of the other entries.
type Peers interface {
	// Majority reports whether more than half of all entries, including this
	// one, are reachable.
	Majority() bool
}

// Ready returns nil if the entry may accept requests. An entry without a recent
// confirmation stays ready while it reaches a majority of the entries. These
// would pass on any confirmation that one of them received, so the quorum is
// lost for all of them, and inference must continue.
func (f *Follower) Ready(now time.Time, peers Peers) error {
	if f.Catalog() == nil {
		return &NotInForceError{}
	}
	if now.Sub(f.Confirmed().At) <= maxConfirmationAge {
		return nil
	}
	if peers.Majority() {
		return nil
	}
	return &IsolatedError{}
}
