package follower

import (
	"time"

	"burdocklink/encoder"
	"burdocklink/timekeeper"
)

// streamState is the state of the reports and holdings on one stream.
type streamState struct {
	sent       *sentReports
	demand     *encoder.DemandEncoder
	nextDemand time.Time
	// holdingsValidUntil is when the holdings received on the stream expire
	// unless confirmed; zero before the first confirmation.
	holdingsValidUntil time.Time
}

func newStreamState() *streamState {
	return &streamState{sent: newSentReports(), demand: encoder.NewDemandEncoder()}
}

// maxSentReports is the number of reports whose times are stored.
const maxSentReports = 64

// sentReports stores when the last reports of a stream were made.
type sentReports struct {
	next  uint64
	times [maxSentReports]time.Time
	// steady holds the same times on a clock that advances during suspensions.
	steady [maxSentReports]time.Time
}

func newSentReports() *sentReports { return &sentReports{next: 1} }

// add records a report made now and returns its number.
func (s *sentReports) add(now time.Time) uint64 {
	number := s.next
	s.times[number%maxSentReports] = now
	s.steady[number%maxSentReports] = timekeeper.Now()
	s.next++
	return number
}

// at returns the time of a report, and false if the number is unknown or too
// old.
func (s *sentReports) at(number uint64) (time.Time, bool) {
	if number == 0 || number >= s.next || s.next-number > maxSentReports {
		return time.Time{}, false
	}
	return s.times[number%maxSentReports], true
}

// steadyAt returns the time of a report on a clock that advances during suspensions. It
// must be known.
func (s *sentReports) steadyAt(number uint64) time.Time { return s.steady[number%maxSentReports] }
