package experimenter

// Policy is what decides in an experiment.
type Policy int

const (
	// Default is admission, routing and placement as the product does it.
	Default Policy = iota
	// StaticPlacement is Default without moves.
	StaticPlacement
	// RoundRobin sends each request to the next holder at once, without
	// moves.
	RoundRobin
	// LeastOutstanding sends each request to the holder with the fewest own
	// requests at once, without moves.
	LeastOutstanding
)

// Policies lists all policies in the order of a comparison.
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

// bypassesAdmission says that requests go out at once.
func (p Policy) bypassesAdmission() bool { return p == RoundRobin || p == LeastOutstanding }
