package follower

import (
	"time"

	"burdocklink/encoder"
)

// streamState is what an entry has told on one stream, and was told of it.
type streamState struct {
	sent       *sentReports
	demand     *encoder.DemandEncoder
	nextDemand time.Time
	// holdingsValidUntil is until when what engines hold stands as told on the stream;
	// zero before the first word of that.
	holdingsValidUntil time.Time
}

func newStreamState() *streamState {
	return &streamState{sent: newSentReports(), demand: encoder.NewDemandEncoder()}
}

// maxSentReports is how many reports of a stream are remembered.
const maxSentReports = 64

// sentReports remembers when the last reports of a stream were made.
type sentReports struct {
	next  uint64
	times [maxSentReports]time.Time
}

func newSentReports() *sentReports { return &sentReports{next: 1} }

// add returns the number of a new report.
func (s *sentReports) add(now time.Time) uint64 {
	number := s.next
	s.times[number%maxSentReports] = now
	s.next++
	return number
}

// at returns the time of a report, and false where it is unknown or too long
// ago.
func (s *sentReports) at(number uint64) (time.Time, bool) {
	if number == 0 || number >= s.next || s.next-number > maxSentReports {
		return time.Time{}, false
	}
	return s.times[number%maxSentReports], true
}
