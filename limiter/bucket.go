package limiter

import "time"

// Bucket spaces the units that all VMs together use of a quota. It keeps only the time at
// which the next unit is due. The zero value has a full burst available.
type Bucket struct{ next time.Time }

// Rate is a quota in units per second, and the number of units that may be saved up.
type Rate struct{ PerSecond, Burst float64 }

// TimeFor returns the time in which so many units accrue, at most maxBucketTime.
func (r Rate) TimeFor(units float64) time.Duration {
	return time.Duration(min(units/r.PerSecond, maxBucketTime.Seconds()) * float64(time.Second))
}

// maxBucketTime bounds how far one request may move a bucket.
const maxBucketTime = time.Hour

// NewBucket returns a bucket with the given number of units saved up.
func NewBucket(now time.Time, rate Rate, saved float64) Bucket {
	return Bucket{next: now.Add(-rate.TimeFor(min(saved, rate.Burst)))}
}

// Take takes units that are due within the horizon. It returns when they are due. If the
// bucket has none by then, it takes nothing and returns when to try again, and false.
func (b *Bucket) Take(now time.Time, rate Rate, units float64, horizon time.Duration) (due time.Time, taken bool) {
	b.save(now, rate)
	if b.next.After(now.Add(horizon)) {
		return b.next.Add(-horizon), false
	}
	due = b.next
	if due.Before(now) {
		due = now
	}
	b.next = b.next.Add(rate.TimeFor(units))
	return due, true
}

// TakeSpare takes up to so many units, but leaves half of the burst. It returns how many
// it took.
func (b *Bucket) TakeSpare(now time.Time, rate Rate, units float64) float64 {
	b.save(now, rate)
	spare := now.Add(-rate.TimeFor(rate.Burst/2)).Sub(b.next).Seconds() * rate.PerSecond
	units = max(0, min(units, spare))
	b.next = b.next.Add(rate.TimeFor(units))
	return units
}

// save limits the units that are saved up to the burst.
func (b *Bucket) save(now time.Time, rate Rate) {
	if earliest := now.Add(-rate.TimeFor(rate.Burst)); b.next.Before(earliest) {
		b.next = earliest
	}
}
