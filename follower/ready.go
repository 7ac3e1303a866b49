package follower

import "time"

// maxConfirmationAge is how old the last confirmation may be before the entry
// counts as cut off from the control members.
const maxConfirmationAge = 3 * time.Second

// Peers says what an entry hears of the other entries.
type Peers interface {
	// Majority is true while more than half of all entries, this one
	// included, are heard.
	Majority() bool
}

// Ready returns nil where the entry may take work. An entry that hears no
// quorum stays ready while it hears a majority of the entries, since they
// would pass on a confirmation that any of them had: then the quorum is lost
// for all of them, and inference goes on.
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
