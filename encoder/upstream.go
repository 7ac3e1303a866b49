// Package encoder converts between domain types and wire formats: JSON, protobuf and
// HTTP headers. All struct tags are in this package, all generated protobuf code is
// in encoder/wire.
package encoder

import "time"

// Header fields of the caller and upstream protocols.
const (
	// HeaderClass names the class of a request.
	HeaderClass = "Burdocklink-Class"
	// HeaderIdempotencyKey identifies a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIssued is the time of the caller's first attempt, in RFC 3339.
	HeaderIssued = "Burdocklink-Issued"
	// HeaderDeadline is the caller's deadline, in RFC 3339.
	HeaderDeadline = "Burdocklink-Deadline"
	// HeaderRequestID identifies a request end to end.
	HeaderRequestID = "Burdocklink-Request-Id"
	// HeaderOutcome reports whether a request ran: ran, not-run or unknown.
	HeaderOutcome = "Burdocklink-Outcome"
	// HeaderUpstream names the upstream that answered.
	HeaderUpstream = "Burdocklink-Upstream"
	// HeaderPriority is the scheduling priority of a request on the engine; higher
	// values run first.
	HeaderPriority = "Burdocklink-Priority"
	// HeaderNotRun is set by an upstream that guarantees that it did not run the
	// request that it refuses.
	HeaderNotRun = "Burdocklink-Not-Run"
	// HeaderLeaving is LeavingValue on all answers of a leaving upstream.
	HeaderLeaving = "Burdocklink-Leaving"
	// HeaderRetryAfter is, with status 503, the number of seconds for which the
	// upstream wants no requests from the recipient.
	HeaderRetryAfter = "Retry-After"
	// HeaderLimit is on all answers of a rate-limited upstream: the requests per
	// second that it accepts from all VMs together.
	HeaderLimit = "Burdocklink-Limit"
)

// LeavingValue is the value of HeaderLeaving.
const LeavingValue = "true"

// Paths of the upstream protocol.
const (
	// PathChat accepts chat completions.
	PathChat = "/v1/chat/completions"
	// PathCompletions accepts plain completions.
	PathCompletions = "/v1/completions"
	// PathModels lists the loaded models.
	PathModels = "/v1/models"
	// PathStreams, followed by a request ID, resumes a stream by GET with
	// Last-Event-ID and cancels it by DELETE.
	PathStreams = "/v1/streams/"
	// PathLoad returns the load report.
	PathLoad = "/v1/load"
	// PathOrders accepts orders by POST; followed by an order ID, GET returns the
	// order's state.
	PathOrders = "/v1/orders"
	// PathCacheEvents returns the cache events after a sequence number.
	PathCacheEvents = "/v1/cache-events"
	// PathKV exports a request's KV cache by GET and imports it by POST.
	PathKV = "/v1/kv/"
	// PathVMs is the platform's list.
	PathVMs = "/v1/vms"
	// PathWeights is the weight store's list; followed by a name, GET fetches
	// the weights.
	PathWeights = "/v1/weights"
)

// LoadReport is the answer to GET PathLoad.
type LoadReport struct {
	Upstream               string    `json:"upstream"`
	Incarnation            string    `json:"incarnation"`
	Sequence               uint64    `json:"sequence"`
	Taken                  time.Time `json:"taken"`
	Running                int       `json:"running"`
	Waiting                int       `json:"waiting"`
	Slots                  int       `json:"slots"`
	WaitingTokens          int       `json:"waiting-tokens"`
	PrefillTokensPerSecond float64   `json:"prefill-tokens-per-second"`
	DecodeTokensPerSecond  float64   `json:"decode-tokens-per-second"`
	MemoryBytes            int64     `json:"memory-bytes"`
	UsedBytes              int64     `json:"used-bytes"`
	Models                 []string  `json:"models"`
	Adapters               []string  `json:"adapters"`
	Role                   string    `json:"role"`
	LastOrder              uint64    `json:"last-order"`
	Leaving                bool      `json:"leaving"`
}

// OrderRequest is the body of POST PathOrders.
type OrderRequest struct {
	ID          uint64 `json:"id"`
	Incarnation string `json:"incarnation"`
	// Kind is load-model, unload-model, load-adapter, unload-adapter or
	// set-role.
	Kind        string    `json:"kind"`
	Model       string    `json:"model,omitempty"`
	Adapter     string    `json:"adapter,omitempty"`
	Version     string    `json:"version,omitempty"`
	Role        string    `json:"role,omitempty"`
	MemoryBytes int64     `json:"memory-bytes,omitempty"`
	Fence       uint64    `json:"fence"`
	NotAfter    time.Time `json:"not-after"`
}

// OrderReply is the answer to an order and to a query of its state. The status
// code is 202 for accepted or running, 200 for done, 409 for refused and 404 for an
// order unknown to the upstream.
type OrderReply struct {
	ID uint64 `json:"id"`
	// State is running, done or refused.
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// VM is one item of the platform's list.
type VM struct {
	Name             string `json:"name"`
	Incarnation      string `json:"incarnation"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Service          string `json:"service"`
	// Software is the version of its software; empty where upstreams do not differ.
	Software string `json:"software,omitempty"`
	// Kind is engine or service.
	Kind string `json:"kind"`
	// State is live or leaving.
	State        string `json:"state"`
	MemoryBytes  int64  `json:"memory-bytes"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
	ChecksFence  bool   `json:"checks-fence"`
}

// Weights is one item of the weight store's list.
type Weights struct {
	Name string `json:"name"`
	// Kind is model or adapter.
	Kind string `json:"kind"`
	// Base is the base model of an adapter.
	Base        string `json:"base,omitempty"`
	Service     string `json:"service,omitempty"`
	Version     string `json:"version"`
	MemoryBytes int64  `json:"memory-bytes"`
}

// ChatRequest contains the known fields of a completion request. The rest of the
// body is passed through unchanged.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	// ContinueFinalMessage asks the engine to continue the last message, which is
	// from the assistant, without repeating it.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatChunk is the data of one server-sent event of a streamed answer. The
// event's ID counts tokens from 1; the last event's data is StreamEnd.
type ChatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
}

// ChatChoice is one choice of a chunk or of a complete answer.
type ChatChoice struct {
	Index        int         `json:"index"`
	Delta        ChatMessage `json:"delta,omitzero"`
	Message      ChatMessage `json:"message,omitzero"`
	Text         string      `json:"text,omitempty"`
	FinishReason string      `json:"finish_reason,omitempty"`
}

// StreamEnd is the data of a stream's terminal event.
const StreamEnd = "[DONE]"
