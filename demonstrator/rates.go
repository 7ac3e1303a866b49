package demonstrator

import "time"

// Rates and times of the stand-ins; rates are per second.
const (
	prefillTokensPerSecond = 8000
	decodeTokensPerSecond  = 50
	reportLag              = 200 * time.Millisecond
	storeLoadsPerSecond    = 10
	storeLoadsAtOnce       = 10
	storeAdaptersInTransit = 50
	modelTime              = 500 * time.Millisecond
	adapterTime            = 100 * time.Millisecond
)
