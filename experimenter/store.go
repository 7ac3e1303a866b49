package experimenter

import (
	"time"

	"burdocklink/orderer"
)

// store is the weight store with its network. Loads take proportionally longer
// while there are more of them than its limits allow.
type store struct {
	limits         orderer.StoreLimits
	bytesPerSecond float64
	// speed is 1, or less while the store is slow.
	speed    float64
	loads    int
	adapters int
	next     time.Time
}

// Durations of a load in addition to its transfer, and of an unload.
const (
	loadOverhead = 300 * time.Millisecond
	unloadTime   = 300 * time.Millisecond
)

// startOrder counts an order and returns how long it takes.
func (s *store) startOrder(now time.Time, work orderer.Work) time.Duration {
	switch work := work.(type) {
	case orderer.LoadModel:
		return s.load(now, work.MemoryBytes)
	case orderer.LoadAdapter:
		s.adapters++
		stretch := max(1, float64(s.adapters)/float64(max(1, s.limits.AdaptersInTransit)))
		return time.Duration(stretch * float64(s.load(now, work.MemoryBytes)))
	default:
		return unloadTime
	}
}

func (s *store) load(now time.Time, bytes int64) time.Duration {
	s.loads++
	wait := max(0, s.next.Sub(now))
	s.next = now.Add(wait + time.Duration(float64(time.Second)/s.limits.LoadsPerSecond))
	stretch := max(1, float64(s.loads)/float64(max(1, s.limits.LoadsAtOnce)))
	transfer := stretch * float64(bytes) / (s.bytesPerSecond * s.speed)
	return wait + loadOverhead + time.Duration(transfer*float64(time.Second))
}

// endOrder counts an order as ended.
func (s *store) endOrder(work orderer.Work) {
	switch work.(type) {
	case orderer.LoadModel:
		s.loads--
	case orderer.LoadAdapter:
		s.loads--
		s.adapters--
	}
}
