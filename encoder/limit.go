package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/limiter"
	"burdocklink/router"
)

// EncodeLimit encodes an upstream's rate limit with its age.
func EncodeLimit(limit router.ObservedLimit, now time.Time) *wire.UpstreamLimit {
	return &wire.UpstreamLimit{
		Upstream:    limit.Upstream,
		Incarnation: limit.Incarnation,
		Named:       limit.Announced,
		PerSecond:   limit.PerSecond,
		AgeMs:       now.Sub(limit.At).Milliseconds(),
	}
}

// DecodeLimit decodes a rate limit that was received now.
func DecodeLimit(message *wire.UpstreamLimit, now time.Time) router.ObservedLimit {
	return router.ObservedLimit{
		Upstream:    message.GetUpstream(),
		Incarnation: message.GetIncarnation(),
		RateLimit:   router.RateLimit{Announced: message.GetNamed(), PerSecond: clampPerSecond(message.GetPerSecond())},
		At:          now.Add(-clampMilliseconds(message.GetAgeMs())),
	}
}

// Limits on the values accepted from other processes.
const (
	// maxSpanMs is the longest age or wait, in milliseconds.
	maxSpanMs = 10 * 60 * 1000
	// maxWanted is the most permits in one reservation request for an upstream.
	maxWanted = 64
)

func clampMilliseconds(count int64) time.Duration {
	return time.Duration(min(max(0, count), maxSpanMs)) * time.Millisecond
}

// clampPerSecond limits a rate to between 0 and maxPerSecond requests per second.
// NaN becomes 0.
func clampPerSecond(perSecond float64) float64 {
	if !(perSecond > 0) {
		return 0
	}
	return min(perSecond, maxPerSecond)
}

// EncodeLimits encodes the rate limits of several upstreams.
func EncodeLimits(limits []router.ObservedLimit, now time.Time) *wire.Limits {
	message := &wire.Limits{}
	for _, limit := range limits {
		message.Limits = append(message.Limits, EncodeLimit(limit, now))
	}
	return message
}

// DecodeLimits decodes rate limits that were received now.
func DecodeLimits(message *wire.Limits, now time.Time) []router.ObservedLimit {
	limits := make([]router.ObservedLimit, 0, len(message.GetLimits()))
	for _, limit := range message.GetLimits() {
		limits = append(limits, DecodeLimit(limit, now))
	}
	return limits
}

// EncodeReservationRequests encodes an entry's reservation requests.
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

// DecodeReservationRequests decodes reservation requests that were received now.
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

// EncodeReservations encodes the permits of an entry, with start times relative to
// now.
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

// millisecondsUntil rounds up, so that a permit is not used before its time.
func millisecondsUntil(at, now time.Time) int64 {
	return int64(max(0, (at.Sub(now)+time.Millisecond-1)/time.Millisecond))
}

// DecodeReservations decodes the reply to reservation requests sent at sentAt. The
// member computed the relative times at an unknown time between sentAt and now, so a
// permit's start is counted from now and its end from sentAt.
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
