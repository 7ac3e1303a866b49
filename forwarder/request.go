package forwarder

import (
	"net/http"
	"time"

	"burdocklink/router"
)

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a caller says of its request.
type Request struct {
	// ID is the caller's own, new for each of its attempts.
	ID string
	// Model and Adapter are empty where the request asks for none.
	Model   string
	Adapter string
	// PromptTokens and AnswerTokens are the prompt's length and the longest
	// answer; LikelyAnswerTokens is a guess. Zero where they are not told.
	PromptTokens         int
	AnswerTokens         int
	ExpectedAnswerTokens int
	// Parts are the prompt's parts in order.
	Parts []PromptPart
	// Deadline is how long the caller waits; zero where it does not say.
	Deadline time.Time
	// LastEvent is the last event of the stream that the caller has.
	LastEvent string
}

// UpstreamRequest is what an upstream is told besides the caller's own header.
type UpstreamRequest struct {
	Now time.Time
	// Deadline is when the upstream must have ended; zero for never.
	Deadline time.Time
	// Upstream is the only one that may run the request.
	Upstream string
	// Rank is the request's urgency for an engine where Ranked is true; 0 goes
	// first.
	Rank   int
	Ranked bool
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// AnswerInfo is what an upstream says of its answer.
type AnswerInfo struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// NotRun is true where the upstream says that it did not run the request.
	NotRun bool
	// Misdirected is true where the upstream is another one than expected, or
	// does not hold what was asked for.
	Misdirected bool
	// Signed is true where the answer is an upstream's own.
	Signed bool
	// Notice is what the upstream says of itself.
	Notice router.Notice
	// UnreadablePause is what it says of a pause where that can't be read.
	UnreadablePause string
	// Limit is the limit of requests that it names, and UnreadableLimit what it
	// says of one where that can't be read.
	Limit           router.RateLimit
	UnreadableLimit string
}

// Codec translates between HTTP messages and the types above.
type Codec struct {
	DecodeRequest func(r *http.Request, now time.Time) (Request, error)
	EncodeRequest func(from http.Header, send UpstreamRequest) http.Header
	DecodeAnswer  func(response *http.Response, now time.Time) AnswerInfo
	AnswerHeader  func(to, from http.Header)
	// Owns says whether an answer's header may belong to a request.
	Owns func(requestID string, header http.Header) bool
}
