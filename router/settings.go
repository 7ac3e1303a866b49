package router

import "time"

// Settings configure a router.
type Settings struct {
	// AvailabilityZone is the router's own.
	AvailabilityZone string
	// Seed varies the sampled candidates from entry to entry.
	Seed uint64
	// Entries is how many entries share the upstreams, this one included;
	// zero counts as one.
	Entries int
	// CrossZoneCost is added to the predicted first token time of upstreams in other
	// availability zones.
	CrossZoneCost time.Duration
}

// Limits of a search.
const (
	// sampledCandidates is how many candidates are sampled and compared.
	sampledCandidates = 3
	// thoroughCandidates is the largest number of candidates of which a thorough search
	// compares all.
	thoroughCandidates = 64
	// fallbackCandidates is how many more are considered if none of the sampled ones
	// fits.
	fallbackCandidates = 64
	// packedShare is the share of its concurrency limit up to which an upstream is
	// filled before the next holder of a model gets requests, and packedCandidates how
	// many upstreams below it are compared.
	packedShare      = 0.5
	packedCandidates = 2
	// minConcurrency is the lowest concurrency limit of an upstream, and
	// maxConcurrencyWithoutSlots the highest for one that reports no slots.
	minConcurrency             = 1
	maxConcurrencyWithoutSlots = 256
	// latencyTolerantAfter is how far in the future a first token deadline must be for
	// a request to count as latency-tolerant. Such requests may use
	// latencyTolerantShare of an upstream's limit for urgentTime after an urgent
	// request went there, and all of it otherwise.
	latencyTolerantAfter = time.Minute
	latencyTolerantShare = 0.5
	urgentTime           = 10 * time.Second
	// overFairShareLimit is the fraction of an upstream's limit open to requests over
	// their fair share, for contendedTime after another request with less than
	// nearDeadlineTime left found the upstream full.
	nearDeadlineTime   = 1400 * time.Millisecond
	overFairShareLimit = 0.6
	contendedTime      = 10 * time.Second
	// pipelinedShare is the part of the limit of a plain upstream that one entry uses
	// which admits all its requests: its slots would be idle while an answer and the next
	// request are on their way.
	pipelinedShare = 1.34
	// queuedPerSlot is how many requests may queue on an engine for each slot, so that
	// its batch does not run dry between two reports.
	queuedPerSlot = 0.1
)

// Delays before a refused request should be retried.
const (
	noUpstreamRetry = 5 * time.Second
	saturatedRetry  = time.Second
)
