// Package estimator predicts how long an engine takes for a request, from its delayed
// load report and the dispatches made since.
package estimator

import (
	"time"

	"burdocklink/cataloger"
)

// Report is a load report of an upstream. It is delayed.
type Report struct {
	Upstream    string
	Incarnation string
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	// Taken is the time of the report on the upstream's clock.
	Taken time.Time
	// Received is the time of arrival on the reader's clock.
	Received time.Time
	// Running is the number of requests in the batch, and Waiting of those in the
	// queue.
	Running int
	Waiting int
	Slots   int
	// WaitingTokens is the total prompt length of all waiting requests, in tokens.
	WaitingTokens int
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the engine's own
	// measurements. Decode is per running request.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	MemoryBytes            int64
	UsedBytes              int64
	Models                 []string
	Adapters               []string
	Role                   cataloger.Role
	// LastOrder is the highest order ID the upstream has settled.
	LastOrder uint64
	// Leaving is set once the upstream accepts no more requests.
	Leaving bool
}
