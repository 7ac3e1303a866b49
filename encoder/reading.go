package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// EncodeReadingRequest writes a question that is sent at a time.
func EncodeReadingRequest(request surveyor.ReadingRequest, sentAt time.Time) *wire.ReadingRequest {
	return &wire.ReadingRequest{
		Digest:    request.Digest,
		MostAgeMs: max(0, sentAt.Sub(request.NotBefore).Milliseconds()),
	}
}

// DecodeReadingRequest reads a question that has arrived at a time.
func DecodeReadingRequest(message *wire.ReadingRequest, receivedAt time.Time) surveyor.ReadingRequest {
	return surveyor.ReadingRequest{
		Digest:    message.GetDigest(),
		NotBefore: receivedAt.Add(-time.Duration(message.GetMostAgeMs()) * time.Millisecond),
	}
}

// EncodeReading writes a reading that is sent at a time.
func EncodeReading(reading surveyor.Reading, sentAt time.Time) *wire.ReadingReply {
	reply := &wire.ReadingReply{AgeMs: sentAt.Sub(reading.ReadAt).Milliseconds() + 1}
	if !reading.Unchanged {
		reply.Listing = EncodeListing(surveyor.Changes{Full: true, Upstreams: reading.Upstreams})
	}
	return reply
}

// DecodeReading reads the answer to a question that was sent at a time. The
// reading's age counts from then, since the way of the answer may have taken
// long.
func DecodeReading(reply *wire.ReadingReply, sentAt time.Time) surveyor.Reading {
	return surveyor.Reading{
		ReadAt:    sentAt.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond),
		Unchanged: reply.GetListing() == nil,
		Upstreams: DecodeListing(reply.GetListing()).Upstreams,
	}
}
