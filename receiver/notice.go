package receiver

import (
	"net/http"
	"time"

	"burdocklink/encoder"
	"burdocklink/router"
)

// Upstreams takes in what upstreams say of themselves.
type Upstreams interface {
	// ObserveNotice takes in what came with an answer of the upstream of a choice.
	// Unreadable is a pause that can't be read, empty where there is none.
	ObserveNotice(choice router.Choice, notice router.Notice, unreadable string)
	// ObserveLimit takes in the limit that an answer names, or that it names none.
	// The request was sent at a time.
	ObserveLimit(choice router.Choice, sentAt time.Time, limit router.RateLimit, unreadable string)
	// TakePermit says whether one more request may go to the upstream of a choice
	// that has a limit of requests.
	TakePermit(choice router.Choice) bool
}

// onHeader returns what is called with the header of an answer of the upstream of
// a choice.
func (x *exchange) onHeader(choice router.Choice) func(*http.Response) {
	sentAt := time.Now()
	return func(response *http.Response) {
		notice, unreadable := encoder.DecodeNotice(response.StatusCode, response.Header, time.Now())
		x.Upstreams.ObserveNotice(choice, notice, unreadable)
		limit, unreadable := encoder.DecodeRateLimit(response.Header.Get(encoder.HeaderLimit))
		x.Upstreams.ObserveLimit(choice, sentAt, limit, unreadable)
	}
}
