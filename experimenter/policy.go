package experimenter

// Policy is the admission, routing and placement policy of a run.
type Policy int

const (
	// Default uses the product's admission, routing and placement.
	Default Policy = iota
	// StaticPlacement is Default without placement moves.
	StaticPlacement
	// RoundRobin dispatches each request at once to the next holder. It has no
	// admission and no moves.
	RoundRobin
	// LeastOutstanding dispatches each request at once to the holder with the
	// fewest requests in flight from the same entry. It has no admission and no
	// moves.
	LeastOutstanding
)

// Policies returns all policies in the order of a comparison.
func Policies() []Policy {
	return []Policy{RoundRobin, LeastOutstanding, StaticPlacement, Default}
}

// String names the policy.
func (p Policy) String() string {
	switch p {
	case StaticPlacement:
		return "static-placement"
	case RoundRobin:
		return "round-robin"
	case LeastOutstanding:
		return "least-outstanding"
	default:
		return "default"
	}
}

// bypassesAdmission reports whether requests are dispatched at once.
func (p Policy) bypassesAdmission() bool { return p == RoundRobin || p == LeastOutstanding }
