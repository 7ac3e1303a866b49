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
		NotBefore: receivedAt.Add(-time.Duration(message.GetMostAgeMs()) * time.Millisecond),
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
		ReadAt:    sentAt.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond),
		Unchanged: reply.GetListing() == nil,
		Upstreams: DecodeListing(reply.GetListing()).Upstreams,
	}
}
