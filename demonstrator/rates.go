package demonstrator

import "time"

// Speeds of the demonstration's stand-ins.
const (
	prefillRate  = 8000
	decodeRate   = 50
	reportLag    = 200 * time.Millisecond
	storeRate    = 10
	storeAtOnce  = 10
	storeTransit = 50
	modelTime    = 500 * time.Millisecond
	adapterTime  = 100 * time.Millisecond
)
