package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// EncodeReadingRequest encodes a request that is sent at sentAt.
func EncodeReadingRequest(request surveyor.ReadingRequest, sentAt time.Time) *wire.ReadingRequest {
	return &wire.ReadingRequest{
		Digest:    request.Digest,
		MostAgeMs: max(0, sentAt.Sub(request.NotBefore).Milliseconds()),
	}
}

// DecodeReadingRequest decodes a request that was received at receivedAt.
func DecodeReadingRequest(message *wire.ReadingRequest, receivedAt time.Time) surveyor.ReadingRequest {
	return surveyor.ReadingRequest{
		Digest:    message.GetDigest(),
		NotBefore: receivedAt.Add(-clampAge(message.GetMostAgeMs())),
	}
}

// EncodeReading encodes a reading that is sent at sentAt.
func EncodeReading(reading surveyor.Reading, sentAt time.Time) *wire.ReadingReply {
	reply := &wire.ReadingReply{AgeMs: sentAt.Sub(reading.ReadAt).Milliseconds() + 1}
	if !reading.Unchanged {
		reply.Listing = EncodeListing(surveyor.Changes{Full: true, Upstreams: reading.Upstreams})
	}
	return reply
}

// DecodeReading decodes the reply to a request that was sent at sentAt. The
// reading's age counts from sentAt, since the reply may have been delayed.
func DecodeReading(reply *wire.ReadingReply, sentAt time.Time) surveyor.Reading {
	return surveyor.Reading{
		ReadAt:    sentAt.Add(-clampAge(reply.GetAgeMs())),
		Unchanged: reply.GetListing() == nil,
		Upstreams: DecodeListing(reply.GetListing()).Upstreams,
	}
}

// maxAge is the greatest age in a message about the platform's list.
const maxAge = 365 * 24 * time.Hour

// clampAge returns a number of milliseconds as an age of up to maxAge.
func clampAge(count int64) time.Duration {
	return time.Duration(min(max(0, count), int64(maxAge/time.Millisecond))) * time.Millisecond
}
