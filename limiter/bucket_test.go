package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/limiter"
)

func ExampleBucket_Take() {
	now := time.Unix(1000, 0)
	rate := limiter.Rate{PerSecond: 100, Burst: 100}
	bucket := limiter.NewBucket(now, rate, 100)
	for range 3 {
		due, taken := bucket.Take(now, rate, 60, 100*time.Millisecond)
		fmt.Println(due.Sub(now), taken)
	}
	// Output:
	// 0s true
	// 0s true
	// 100ms false
}

// Guards against a bucket that gives more than the rate, the burst, the horizon and one
// request in some span, whatever the sizes and times of the requests are.
func TestBucketKeepsItsRateOverEverySpan(t *testing.T) {
	const horizon = 100 * time.Millisecond
	rate := limiter.Rate{PerSecond: 5000, Burst: 5000}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		bucket := limiter.NewBucket(now, rate, rate.Burst)
		type take struct {
			at    time.Time
			units float64
		}
		var takes []take
		largest := 0.0
		for range 400 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			units := float64(200 + random.IntN(4000))
			if due, taken := bucket.Take(now, rate, units, horizon); taken {
				assert.Assert(t, !due.Before(now) && !due.After(now.Add(horizon)))
				takes, largest = append(takes, take{now, units}), max(largest, units)
			}
			if spare := bucket.TakeSpare(now, rate, float64(random.IntN(2000))); spare > 0 {
				takes = append(takes, take{now, spare})
			}
		}
		for first := range takes {
			sum := 0.0
			for _, later := range takes[first:] {
				sum += later.units
				span := later.at.Sub(takes[first].at) + horizon
				assert.Assert(t, sum <= rate.PerSecond*span.Seconds()+rate.Burst+largest+1, "seed %d", seed)
			}
		}
	}
}

// Guards against spare units that take what requests need.
func TestSpareUnitsLeaveHalfOfTheBurst(t *testing.T) {
	now := time.Unix(1000, 0)
	rate := limiter.Rate{PerSecond: 100, Burst: 100}
	bucket := limiter.NewBucket(now, rate, 100)
	assert.Equal(t, bucket.TakeSpare(now, rate, 80), 50.0)
	assert.Equal(t, bucket.TakeSpare(now, rate, 80), 0.0)
	due, taken := bucket.Take(now, rate, 50, 0)
	assert.Assert(t, taken && due.Equal(now))
}

// Guards against a request of absurd size that blocks its organisation for longer than an
// hour, or overflows.
func TestOneRequestMovesABucketByAnHourAtMost(t *testing.T) {
	now := time.Unix(1000, 0)
	rate := limiter.Rate{PerSecond: 1e-9, Burst: 1}
	bucket := limiter.NewBucket(now, rate, 1)
	_, taken := bucket.Take(now, rate, 1e300, 0)
	assert.Assert(t, taken)
	_, taken = bucket.Take(now.Add(61*time.Minute), rate, 1, 0)
	assert.Assert(t, taken)
}
