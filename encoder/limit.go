package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/limiter"
	"burdocklink/router"
)

// EncodeLimit writes what was heard of an upstream's limit.
func EncodeLimit(limit router.ObservedLimit, now time.Time) *wire.UpstreamLimit {
	return &wire.UpstreamLimit{
		Upstream:    limit.Upstream,
		Incarnation: limit.Incarnation,
		Named:       limit.Announced,
		PerSecond:   limit.PerSecond,
		AgeMs:       now.Sub(limit.At).Milliseconds(),
	}
}

// DecodeLimit reads what EncodeLimit wrote.
func DecodeLimit(message *wire.UpstreamLimit, now time.Time) router.ObservedLimit {
	return router.ObservedLimit{
		Upstream:    message.GetUpstream(),
		Incarnation: message.GetIncarnation(),
		RateLimit:   router.RateLimit{Announced: message.GetNamed(), PerSecond: clampPerSecond(message.GetPerSecond())},
		At:          now.Add(-clampMilliseconds(message.GetAgeMs())),
	}
}

// Bounds of what another process may say: more is of no use.
const (
	// maxSpanMs bounds ages and waits, in milliseconds.
	maxSpanMs = 10 * 60 * 1000
	// maxWanted bounds the requests that are asked for at once.
	maxWanted = 64
)

func clampMilliseconds(count int64) time.Duration {
	return time.Duration(min(max(0, count), maxSpanMs)) * time.Millisecond
}

// clampPerSecond returns what may be reckoned with of a number of requests a
// second that may be none at all.
func clampPerSecond(perSecond float64) float64 {
	if !(perSecond > 0) {
		return 0
	}
	return min(perSecond, maxPerSecond)
}

// EncodeLimits writes what was heard of several upstreams.
func EncodeLimits(limits []router.ObservedLimit, now time.Time) *wire.Limits {
	message := &wire.Limits{}
	for _, limit := range limits {
		message.Limits = append(message.Limits, EncodeLimit(limit, now))
	}
	return message
}

// DecodeLimits reads what EncodeLimits wrote.
func DecodeLimits(message *wire.Limits, now time.Time) []router.ObservedLimit {
	limits := make([]router.ObservedLimit, 0, len(message.GetLimits()))
	for _, limit := range message.GetLimits() {
		limits = append(limits, DecodeLimit(limit, now))
	}
	return limits
}

// EncodeReservationRequests writes the requests that an entry wants to send.
func EncodeReservationRequests(entry string, requests []router.ReservationRequest, now time.Time) *wire.ReserveRequest {
	message := &wire.ReserveRequest{Entry: entry}
	for _, request := range requests {
		message.Upstreams = append(message.Upstreams, &wire.LimitedUpstream{
			Limit:  EncodeLimit(request.ObservedLimit, now),
			Wanted: uint32(max(0, request.Wanted)),
			Spare:  request.Optional,
		})
	}
	return message
}

// DecodeReservationRequests reads what EncodeAsks wrote.
func DecodeReservationRequests(message *wire.ReserveRequest, now time.Time) []router.ReservationRequest {
	requests := make([]router.ReservationRequest, 0, len(message.GetUpstreams()))
	for _, upstream := range message.GetUpstreams() {
		requests = append(requests, router.ReservationRequest{
			ObservedLimit: DecodeLimit(upstream.GetLimit(), now),
			Wanted:        int(min(upstream.GetWanted(), maxWanted)),
			Optional:      upstream.GetSpare(),
		})
	}
	return requests
}

// EncodeReservations writes what an entry may send.
func EncodeReservations(reservations []router.Reservation, now time.Time) []*wire.Reservation {
	var messages []*wire.Reservation
	for _, reservation := range reservations {
		message := &wire.Reservation{Upstream: reservation.Upstream, Incarnation: reservation.Incarnation}
		for _, permit := range reservation.Permits {
			message.DueInMs = append(message.DueInMs, millisecondsUntil(permit.From, now))
		}
		if !reservation.RetryAt.IsZero() {
			message.AskInMs = max(1, millisecondsUntil(reservation.RetryAt, now))
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
		reservation := router.Reservation{Upstream: message.GetUpstream(), Incarnation: message.GetIncarnation()}
		for _, dueInMs := range message.GetDueInMs() {
			wait := clampMilliseconds(dueInMs)
			reservation.Permits = append(reservation.Permits, limiter.Permit{
				From:  now.Add(wait),
				Until: sentAt.Add(wait + limiter.PermitLifetime),
			})
		}
		if message.GetAskInMs() > 0 {
			reservation.RetryAt = now.Add(clampMilliseconds(message.GetAskInMs()))
		}
		reservations = append(reservations, reservation)
	}
	return reservations
}
