// Package estimator predicts how long an engine will take for a request, from
// its lagged load report and the dispatches made since.
package estimator

import (
	"time"

	"burdocklink/cataloger"
)

// Report is what an upstream says of its load. It lags.
type Report struct {
	Upstream    string
	Incarnation string
	// Sequence counts up with each report of an incarnation.
	Sequence uint64
	// Taken is the upstream's time of the report.
	Taken time.Time
	// Received is the reader's time of arrival.
	Received time.Time
	// Running and Waiting are requests in the batch and in the queue.
	Running int
	Waiting int
	Slots   int
	// WaitingTokens is the prompt length, in tokens, of all waiting requests.
	WaitingTokens int
	// PrefillTokensPerSecond and DecodeTokensPerSecond are what the engine
	// measured of itself; decode is per running request.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	MemoryBytes            int64
	UsedBytes              int64
	Models                 []string
	Adapters               []string
	Role                   cataloger.Role
	// LastOrder is the highest order ID the upstream has settled.
	LastOrder uint64
	// Leaving is true once the upstream takes no new work.
	Leaving bool
}
