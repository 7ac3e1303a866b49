package demonstrator

import "time"

// Speeds of the demonstration's stand-ins.
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
