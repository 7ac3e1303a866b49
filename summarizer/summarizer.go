// Package summarizer summarises the structured logs of entries and control members:
// which requests were refused, late or failed and why, and when a model had too few
// copies. It reads nothing but log lines.
package summarizer

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"time"
)

// Cause is why a request was refused.
type Cause string

const (
	// CauseTarget requests could not be answered in time.
	CauseTarget Cause = "target"
	// CauseHolder requests found no upstream that holds their model or adapter.
	CauseHolder Cause = "holder"
	// CauseConfiguration requests reached an entry without a configuration.
	CauseConfiguration Cause = "configuration"
	// CauseBudget requests needed a retry that the retry budget does not cover.
	CauseBudget Cause = "budget"
	// CauseQuota requests were beyond the quota of their organisation, or nobody could tell.
	CauseQuota Cause = "quota"
	// CauseKey requests had no key in force, or one that could not be confirmed.
	CauseKey Cause = "key"
	// CauseOther is any other reason.
	CauseOther Cause = "other"
)

// Causes lists all causes in the order of a table.
func Causes() []Cause {
	return []Cause{CauseTarget, CauseHolder, CauseConfiguration, CauseBudget, CauseQuota, CauseKey, CauseOther}
}

// Losses counts the requests for one model, or for its adapters.
type Losses struct {
	Model string
	// Adapters is set for the requests that name an adapter.
	Adapters bool
	Requests int
	// Late requests got their first event after the target.
	Late    int
	Failed  int
	Refused map[Cause]int
}

// Lost returns how many requests were late, failed or refused.
func (l *Losses) Lost() int {
	lost := l.Late + l.Failed
	for _, count := range l.Refused {
		lost += count
	}
	return lost
}

// OrganisationLosses counts the requests with the keys of one organisation.
type OrganisationLosses struct {
	Organisation string
	Requests     int
	Failed       int
	Refused      map[Cause]int
	// GrantedUnits is how many units of its quota entries were granted. Some of them are
	// never used.
	GrantedUnits float64
}

// Shortage is a time in which many requests for a model were refused.
type Shortage struct {
	Model      string
	Start, End time.Time
	// Refused is the number of refused requests.
	Refused int
	// Ordered is when the first copy was ordered or planned after Start, and Served
	// when a copy that was loaded since Start gave the first answer; zero for never.
	Ordered, Served time.Time
	// Idle is the share of engines that had fewer than IdleBelow requests in flight.
	Idle float64
}

// Summary is what the logs tell.
type Summary struct {
	// Losses are in descending order of lost requests.
	Losses []*Losses
	// Organisations are in alphabetical order.
	Organisations []*OrganisationLosses
	// Shortages are in order of their start.
	Shortages []Shortage
}

// Settings set the limits of a summary.
type Settings struct {
	// Target is the time to the first event above which a request is late.
	Target time.Duration
}

const (
	// shortageBegins is the share of refused requests in a second with which a
	// shortage begins, and shortageEnds the one below which it ends.
	shortageBegins = 0.25
	shortageEnds   = 0.05
	// minRequests is the least number of requests in a second that shows a share.
	minRequests = 8
	// IdleBelow is the number of requests in flight below which an engine is idle.
	IdleBelow = 8
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// ReadError reports that the logs could not be read.
type ReadError struct{ Cause error }

// Error returns the cause.
func (e *ReadError) Error() string { return "logs can't be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Read summarises log lines. What precedes the JSON object of a line is ignored, and
// so are lines without one.
func Read(logs io.Reader, settings Settings) (*Summary, error) {
	s := newScan(settings)
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := decode(scanner.Bytes()); ok {
			s.add(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &ReadError{Cause: err}
	}
	return s.summary(), nil
}

// summary returns the result of the scan.
func (s *scan) summary() *Summary {
	summary := &Summary{}
	for _, losses := range s.losses {
		summary.Losses = append(summary.Losses, losses)
	}
	slices.SortFunc(summary.Losses, func(a, b *Losses) int {
		return cmp.Or(cmp.Compare(b.Lost(), a.Lost()), cmp.Compare(a.Model, b.Model))
	})
	for _, name := range slices.Sorted(maps.Keys(s.organisations)) {
		summary.Organisations = append(summary.Organisations, s.organisations[name])
	}
	for model, seconds := range s.seconds {
		summary.Shortages = append(summary.Shortages, s.shortages(model, seconds)...)
	}
	slices.SortFunc(summary.Shortages, func(a, b Shortage) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Model, b.Model))
	})
	return summary
}
