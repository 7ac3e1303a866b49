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
	// CrossZoneCost is what a call to another availability zone costs.
	CrossZoneCost time.Duration
}

// Limits of a choice.
const (
	// sampledCandidates is how many candidates are drawn and compared.
	sampledCandidates = 3
	// thoroughCandidates is how many candidates are compared at most for a thorough choice.
	thoroughCandidates = 64
	// fallbackCandidates is how many more are looked at when all drawn ones are at their
	// limits.
	fallbackCandidates = 64
	// minConcurrency is the lowest concurrency limit of an upstream, and
	// plainLimit the highest of one that reports no slots.
	minConcurrency             = 1
	maxConcurrencyWithoutSlots = 256
	// latencyTolerantAfter is how far off the first token may be promised so that a request
	// counts as patient; patientShare of an upstream's limit is open to those
	// for hurryTime after an urgent request went there, and all of it later.
	latencyTolerantAfter = time.Minute
	latencyTolerantShare = 0.5
	urgentTime           = 10 * time.Second
	// yieldShare of an upstream's limit is open to requests that yield, for
	// contendedTime after another one with less than pressedTime left found it
	// full.
	nearDeadlineTime   = 1400 * time.Millisecond
	overFairShareLimit = 0.6
	contendedTime      = 10 * time.Second
	// queuedPerSlot is how many requests may wait on an engine for each slot,
	// so that its batch does not run dry between two reports.
	queuedPerSlot = 0.1
)

// Waits before a refused request should come back.
const (
	noUpstreamRetry = 5 * time.Second
	saturatedRetry  = time.Second
)
