package receiver

import (
	"net/http"
	"time"

	"burdocklink/encoder"
	"burdocklink/router"
)

// Upstreams processes the notices and rate limits that upstreams announce in answers.
type Upstreams interface {
	// ObserveNotice processes the notice in an answer of the chosen upstream.
	// unreadable is the text of a pause that cannot be parsed, empty if there is none.
	ObserveNotice(choice router.Choice, notice router.Notice, unreadable string)
	// ObserveLimit processes the rate limit in an answer to a request sent at sentAt; the
	// zero limit if it announces none. unreadable is the text of a limit that cannot be
	// parsed, empty if there is none.
	ObserveLimit(choice router.Choice, sentAt time.Time, limit router.RateLimit, unreadable string)
	// TakePermit uses a permit for one more request to the chosen upstream. It returns
	// false if the upstream has a rate limit and there is no permit.
	TakePermit(choice router.Choice) bool
	// Leaving reports whether the chosen upstream may stop at any time, because it is
	// leaving.
	Leaving(choice router.Choice) bool
}

// onHeader returns the callback for the header of an answer of the chosen upstream.
// The request counts as sent at the time of the call.
func (x *exchange) onHeader(choice router.Choice) func(*http.Response) {
	sentAt := time.Now()
	return func(response *http.Response) {
		notice, unreadable := encoder.DecodeNotice(response.StatusCode, response.Header, time.Now())
		x.Upstreams.ObserveNotice(choice, notice, unreadable)
		limit, unreadable := encoder.DecodeRateLimit(response.Header.Get(encoder.HeaderLimit))
		x.Upstreams.ObserveLimit(choice, sentAt, limit, unreadable)
	}
}
