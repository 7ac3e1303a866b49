package router

import "time"

// Settings of a router.
type Settings struct {
	// AvailabilityZone is the chooser's own.
	AvailabilityZone string
	// Seed varies the sampled candidates from entry to entry.
	Seed uint64
	// Entries is how many entries share the upstreams, this one included;
	// zero counts as one.
	Entries int
	// CrossZone is what a call to another availability zone costs.
	CrossZone time.Duration
}

// Limits of a choice.
const (
	// sampled is how many candidates are drawn and compared.
	sampled = 3
	// thoroughly is how many candidates are compared at most for a thorough choice.
	thoroughly = 64
	// walked is how many more are looked at when all drawn ones are at their
	// limits.
	walked = 64
	// leastLimit is the lowest concurrency limit of an upstream, and
	// plainLimit the highest of one that reports no slots.
	leastLimit = 1
	plainLimit = 256
	// patience is how far off the first token may be promised so that a request
	// counts as patient; patientShare of an upstream's limit is open to those
	// for hurryTime after an urgent request went there, and all of it later.
	patience     = time.Minute
	patientShare = 0.5
	hurryTime    = 10 * time.Second
	// yieldShare of an upstream's limit is open to requests that yield, for
	// contendedTime after another one with less than pressedTime left found it
	// full.
	pressedTime   = 1400 * time.Millisecond
	yieldShare    = 0.6
	contendedTime = 10 * time.Second
	// waitingShare is how many requests may wait on an engine for each slot,
	// so that its batch does not run dry between two reports.
	waitingShare = 0.1
)

// Waits before a refused request should come back.
const (
	noUpstreamRetry = 5 * time.Second
	saturatedRetry  = time.Second
)
