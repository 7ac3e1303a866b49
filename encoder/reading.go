package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

// EncodeQuestion writes a question that is sent at a time.
func EncodeQuestion(question surveyor.ReadingRequest, sent time.Time) *wire.ReadingRequest {
	return &wire.ReadingRequest{
		Digest:    question.Digest,
		MostAgeMs: max(0, sent.Sub(question.NotBefore).Milliseconds()),
	}
}

// DecodeQuestion reads a question that has arrived at a time.
func DecodeQuestion(message *wire.ReadingRequest, arrived time.Time) surveyor.ReadingRequest {
	return surveyor.ReadingRequest{
		Digest:    message.GetDigest(),
		NotBefore: arrived.Add(-time.Duration(message.GetMostAgeMs()) * time.Millisecond),
	}
}

// EncodeReading writes a reading that is sent at a time.
func EncodeReading(reading surveyor.Reading, sent time.Time) *wire.ReadingReply {
	reply := &wire.ReadingReply{AgeMs: sent.Sub(reading.ReadAt).Milliseconds() + 1}
	if !reading.Unchanged {
		reply.Listing = EncodeListing(surveyor.Changes{Full: true, Upstreams: reading.Upstreams})
	}
	return reply
}

// DecodeReading reads the answer to a question that was sent at a time. The
// reading's age counts from then, since the way of the answer may have taken
// long.
func DecodeReading(reply *wire.ReadingReply, asked time.Time) surveyor.Reading {
	return surveyor.Reading{
		ReadAt:    asked.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond),
		Unchanged: reply.GetListing() == nil,
		Upstreams: DecodeListing(reply.GetListing()).Upstreams,
	}
}
