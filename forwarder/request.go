package forwarder

import (
	"net/http"
	"time"

	"burdocklink/router"
)

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is the decoded header of a caller's request.
type Request struct {
	// ID is set by the caller, and new for each of its attempts.
	ID string
	// Caller identifies who sent the request, at any address; empty if it does not say.
	Caller string
	// Key is the key of the caller's organisation; empty if the request carries none.
	Key string
	// Model and Adapter are empty if the request names none.
	Model   string
	Adapter string
	// PromptTokens is the length of the prompt, AnswerTokens the maximum and
	// ExpectedAnswerTokens the estimated length of the answer. Zero means unknown.
	PromptTokens         int
	AnswerTokens         int
	ExpectedAnswerTokens int
	// TokensStated is true if the request gives a number of tokens.
	TokensStated bool
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// Deadline is when the caller gives up; zero if it does not say.
	Deadline time.Time
	// LastEvent is the ID of the last event of the stream that the caller has. Resumes is
	// the ID of the request that brought the stream's first event; empty if the caller
	// does not say.
	LastEvent string
	Resumes   string
}

// maxLoggedParts is the number of prompt parts in a log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the first parts.
func (r *Request) loggedParts() []string {
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range r.Parts[:min(len(r.Parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// UpstreamRequest is sent to an upstream in addition to the caller's header.
type UpstreamRequest struct {
	Now time.Time
	// Deadline is when the upstream must have finished; zero for no deadline.
	Deadline time.Time
	// Upstream is the only one that may run the request.
	Upstream string
	// Rank is the urgency of the request for an engine, with 0 first. It is sent only
	// if Ranked is true.
	Rank   int
	Ranked bool
	// LastEvent is the ID of the event after which a stream resumes.
	LastEvent string
	// HidesKey is true if the caller's key must not reach the upstream. Organisation is then
	// the one that it belongs to, empty if the request needs no key.
	HidesKey     bool
	Organisation string
}

// AnswerInfo is the decoded header of an upstream's answer.
type AnswerInfo struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is true if another upstream than expected answered, or if it does
	// not hold the requested model or adapter.
	Misdirected bool
	// Signed is true if the answer carries the signature of an upstream.
	Signed bool
	// Notice is the notice that the upstream announces.
	Notice router.Notice
	// UnreadablePause is the text of a pause that can't be parsed.
	UnreadablePause string
	// Limit is the rate limit that the upstream announces, UnreadableLimit the text of
	// one that can't be parsed.
	Limit           router.RateLimit
	UnreadableLimit string
}

// Codec translates between HTTP messages and the types above.
type Codec struct {
	DecodeRequest func(r *http.Request, now time.Time) (Request, error)
	EncodeRequest func(from http.Header, send UpstreamRequest) http.Header
	DecodeAnswer  func(response *http.Response, now time.Time) AnswerInfo
	AnswerHeader  func(to, from http.Header)
	// OwnsAnswer reports whether an answer with this header may belong to the request.
	OwnsAnswer func(requestID string, header http.Header) bool
}
