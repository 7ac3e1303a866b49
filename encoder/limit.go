package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/limiter"
	"burdocklink/router"
)

// EncodeLimit writes what was heard of an upstream's limit.
func EncodeLimit(heard router.ObservedLimit, now time.Time) *wire.UpstreamLimit {
	return &wire.UpstreamLimit{
		Upstream:    heard.Upstream,
		Incarnation: heard.Incarnation,
		Named:       heard.Announced,
		PerSecond:   heard.PerSecond,
		AgeMs:       now.Sub(heard.At).Milliseconds(),
	}
}

// DecodeLimit reads what EncodeLimit wrote.
func DecodeLimit(message *wire.UpstreamLimit, now time.Time) router.ObservedLimit {
	return router.ObservedLimit{
		Upstream:    message.GetUpstream(),
		Incarnation: message.GetIncarnation(),
		RateLimit:   router.RateLimit{Announced: message.GetNamed(), PerSecond: boundPerSecond(message.GetPerSecond())},
		At:          now.Add(-boundMilliseconds(message.GetAgeMs())),
	}
}

// Bounds of what another process may say: more is of no use.
const (
	// mostSpanMs bounds ages and waits, in milliseconds.
	mostSpanMs = 10 * 60 * 1000
	// mostAsked bounds the requests that are asked for at once.
	mostAsked = 64
)

func boundMilliseconds(count int64) time.Duration {
	return time.Duration(min(max(0, count), mostSpanMs)) * time.Millisecond
}

// boundPerSecond returns what may be reckoned with of a number of requests a
// second that may be none at all.
func boundPerSecond(perSecond float64) float64 {
	if !(perSecond > 0) {
		return 0
	}
	return min(perSecond, mostPerSecond)
}

// EncodeLimits writes what was heard of several upstreams.
func EncodeLimits(heard []router.ObservedLimit, now time.Time) *wire.Limits {
	message := &wire.Limits{}
	for _, one := range heard {
		message.Limits = append(message.Limits, EncodeLimit(one, now))
	}
	return message
}

// DecodeLimits reads what EncodeLimits wrote.
func DecodeLimits(message *wire.Limits, now time.Time) []router.ObservedLimit {
	heard := make([]router.ObservedLimit, 0, len(message.GetLimits()))
	for _, one := range message.GetLimits() {
		heard = append(heard, DecodeLimit(one, now))
	}
	return heard
}

// EncodeAsks writes the requests that an entry wants to send.
func EncodeAsks(entry string, asks []router.ReservationRequest, now time.Time) *wire.ReserveRequest {
	message := &wire.ReserveRequest{Entry: entry}
	for _, ask := range asks {
		message.Upstreams = append(message.Upstreams, &wire.LimitedUpstream{
			Limit:  EncodeLimit(ask.ObservedLimit, now),
			Wanted: uint32(max(0, ask.Wanted)),
			Spare:  ask.Optional,
		})
	}
	return message
}

// DecodeAsks reads what EncodeAsks wrote.
func DecodeAsks(message *wire.ReserveRequest, now time.Time) []router.ReservationRequest {
	asks := make([]router.ReservationRequest, 0, len(message.GetUpstreams()))
	for _, one := range message.GetUpstreams() {
		asks = append(asks, router.ReservationRequest{
			ObservedLimit: DecodeLimit(one.GetLimit(), now),
			Wanted:        int(min(one.GetWanted(), mostAsked)),
			Optional:      one.GetSpare(),
		})
	}
	return asks
}

// EncodeReservations writes what an entry may send.
func EncodeReservations(reservations []router.Reservation, now time.Time) []*wire.Reservation {
	var messages []*wire.Reservation
	for _, one := range reservations {
		message := &wire.Reservation{Upstream: one.Upstream, Incarnation: one.Incarnation}
		for _, permit := range one.Permits {
			message.DueInMs = append(message.DueInMs, millisecondsUntil(permit.From, now))
		}
		if !one.RetryAt.IsZero() {
			message.AskInMs = max(1, millisecondsUntil(one.RetryAt, now))
		}
		messages = append(messages, message)
	}
	return messages
}

// millisecondsUntil rounds up: what is due must not come early.
func millisecondsUntil(at, now time.Time) int64 {
	return int64(max(0, (at.Sub(now)+time.Millisecond-1)/time.Millisecond))
}

// DecodeReservations reads what EncodeReservations wrote in answer to a question
// that was sent at a time. The member reckoned at some moment between then and
// now: a permit begins by the later and ends by the earlier one.
func DecodeReservations(messages []*wire.Reservation, sentAt, now time.Time) []router.Reservation {
	reservations := make([]router.Reservation, 0, len(messages))
	for _, message := range messages {
		one := router.Reservation{Upstream: message.GetUpstream(), Incarnation: message.GetIncarnation()}
		for _, due := range message.GetDueInMs() {
			wait := boundMilliseconds(due)
			one.Permits = append(one.Permits, limiter.Permit{
				From:  now.Add(wait),
				Until: sentAt.Add(wait + limiter.PermitLifetime),
			})
		}
		if message.GetAskInMs() > 0 {
			one.RetryAt = now.Add(boundMilliseconds(message.GetAskInMs()))
		}
		reservations = append(reservations, one)
	}
	return reservations
}
