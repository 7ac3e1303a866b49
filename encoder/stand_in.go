package encoder

import "time"

// Paths of the stand-ins in addition to those of the upstream protocol.
const (
	// PathRecord returns the record of a stand-in.
	PathRecord = "/v1/record"
	// PathFaults accepts EngineFaults or ServiceFaults by POST.
	PathFaults = "/v1/faults"
	// PathLeave makes an upstream announce that it is leaving, by POST.
	PathLeave = "/v1/leave"
)

// EngineFaults are the faults injected into a stand-in engine. Each POST replaces
// all of them; the zero value injects none.
type EngineFaults struct {
	// CutAfterTokens is the number of events after which the connection of a stream
	// is closed.
	CutAfterTokens int `json:"cut-after-tokens,omitempty"`
	// CutTimes is the number of streams that are cut; zero cuts all.
	CutTimes int `json:"cut-times,omitempty"`
	// ReorderEvents swaps neighbouring events of a stream.
	ReorderEvents bool `json:"reorder-events,omitempty"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"duplicate-events,omitempty"`
	// ForgetStreams answers a resume as if the stream had never existed.
	ForgetStreams bool `json:"forget-streams,omitempty"`
	// SilenceOpen sends nothing more on the streams that are open now. Later
	// streams work.
	SilenceOpen bool `json:"silence-open,omitempty"`
	// SilenceAll sends nothing on any stream.
	SilenceAll bool `json:"silence-all,omitempty"`
	// Frozen blocks all requests except those to PathRecord and PathFaults.
	Frozen bool `json:"frozen,omitempty"`
	// SlowFactor divides the speed; zero and one have no effect.
	SlowFactor float64 `json:"slow-factor,omitempty"`
	// RefuseRequests answers 503 with HeaderNotRun.
	RefuseRequests bool `json:"refuse-requests,omitempty"`
	// LoseOrders is the number of orders that are dropped before they are handled.
	LoseOrders int `json:"lose-orders,omitempty"`
	// LoseOrderReplies is the number of orders that are handled but not answered.
	LoseOrderReplies int `json:"lose-order-replies,omitempty"`
	// LateOrders is the number of orders that are delayed and not answered.
	LateOrders int `json:"late-orders,omitempty"`
	// LateOrderMilliseconds is the delay of LateOrders.
	LateOrderMilliseconds int `json:"late-order-milliseconds,omitempty"`
	// LateCacheEventMilliseconds is an additional delay of cache events.
	LateCacheEventMilliseconds int `json:"late-cache-event-milliseconds,omitempty"`
	// DropCacheEvents drops one in every DropCacheEvents cache events.
	DropCacheEvents int `json:"drop-cache-events,omitempty"`
}

// ServiceFaults are the faults injected into a stand-in plain service.
type ServiceFaults struct {
	// RefuseRequests answers 503 with HeaderNotRun without running the request.
	RefuseRequests bool `json:"refuse-requests,omitempty"`
	// FailAfterRun runs the request and answers 503 without HeaderNotRun.
	FailAfterRun bool `json:"fail-after-run,omitempty"`
	// HangAfterRun runs the request and never answers.
	HangAfterRun bool `json:"hang-after-run,omitempty"`
	// CutAfterRun runs the request and closes the connection.
	CutAfterRun bool `json:"cut-after-run,omitempty"`
	// DelayMilliseconds is the delay before a request runs.
	DelayMilliseconds int `json:"delay-milliseconds,omitempty"`
	// Frozen blocks all requests except those to PathRecord and PathFaults.
	Frozen bool `json:"frozen,omitempty"`
}

// EngineRecord contains the requests and orders of a stand-in engine.
type EngineRecord struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
	MemoryBytes int64  `json:"memory-bytes"`
	UsedBytes   int64  `json:"used-bytes"`
	// MostUsedBytes is the peak memory use, loads in progress included.
	MostUsedBytes int64 `json:"most-used-bytes"`
	// Violations describes the orders that broke a guarantee of the protocol.
	Violations []string       `json:"violations"`
	Leaving    time.Time      `json:"leaving,omitzero"`
	Runs       []EngineRun    `json:"runs"`
	Orders     []OrderArrival `json:"orders"`
	Models     []string       `json:"models"`
	Adapters   []string       `json:"adapters"`
}

// EngineRun is one request accepted by an engine.
type EngineRun struct {
	RequestID string    `json:"request-id"`
	Path      string    `json:"path"`
	Model     string    `json:"model,omitempty"`
	Started   time.Time `json:"started"`
	// State is waiting, running, done or cancelled.
	State  string `json:"state"`
	Tokens int    `json:"tokens"`
	// PromptTokens is the length of the prompt, CachedTokens the part of it that
	// was in the prefix cache.
	PromptTokens int  `json:"prompt-tokens"`
	CachedTokens int  `json:"cached-tokens"`
	Priority     int  `json:"priority"`
	Imported     bool `json:"imported,omitempty"`
}

// OrderArrival is one delivery of an order to an engine.
type OrderArrival struct {
	OrderRequest
	Arrived time.Time `json:"arrived"`
	State   string    `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	// Repeated reports whether an order with this ID had arrived before.
	Repeated bool `json:"repeated,omitempty"`
}

// ServiceRecord contains the calls of a stand-in plain service.
type ServiceRecord struct {
	Upstream string      `json:"upstream"`
	Leaving  time.Time   `json:"leaving,omitzero"`
	Calls    []Execution `json:"calls"`
	// Refused counts the calls that were answered without being run.
	Refused int `json:"refused"`
}

// Execution is one call that a plain service ran.
type Execution struct {
	RequestID      string    `json:"request-id"`
	Subscriber     string    `json:"subscriber,omitempty"`
	IdempotencyKey string    `json:"idempotency-key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	BodyDigest     string    `json:"body-digest"`
	Ran            time.Time `json:"ran"`
	// Count is the number of calls with the same subscriber and key that have run,
	// this one included.
	Count int `json:"count"`
}

// ServiceAnswer is the body of a stand-in service's answer.
type ServiceAnswer struct {
	Upstream       string `json:"upstream"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	BodyDigest     string `json:"body-digest"`
	Count          int    `json:"count"`
}

// StoreRecord contains counts of the fetches from a stand-in weight store.
type StoreRecord struct {
	Fetches int `json:"fetches"`
	// MostAtOnce is the highest number of concurrent fetches.
	MostAtOnce int `json:"most-at-once"`
	// MostAdaptersAtOnce is the highest number of concurrent adapter fetches.
	MostAdaptersAtOnce int `json:"most-adapters-at-once"`
	// MostInSecond is the highest number of fetches started in one second.
	MostInSecond int `json:"most-in-second"`
}

// PlatformRecord is the history of a stand-in platform's list.
type PlatformRecord struct {
	Events []PlatformEvent `json:"events"`
}

// PlatformEvent is one change of the platform's list.
type PlatformEvent struct {
	At          time.Time `json:"at"`
	Name        string    `json:"name"`
	Incarnation string    `json:"incarnation"`
	// Kind is added, leaving or removed.
	Kind string `json:"kind"`
}

// CacheEvents is the answer to GET PathCacheEvents with the query parameter
// after. A gap between sequence numbers means that events were lost.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Oldest is the lowest sequence number that is still available.
	Oldest uint64 `json:"oldest"`
}

// CacheEvent reports that a block of a prompt's prefix was stored in the prefix
// cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is stored or evicted.
	Kind  string `json:"kind"`
	Model string `json:"model"`
	// Prefix is the hash of the prompt up to the end of the block.
	Prefix uint64 `json:"prefix"`
}

// KVCache is the exported KV cache of a request.
type KVCache struct {
	RequestID string `json:"request-id"`
	Path      string `json:"path"`
	Model     string `json:"model"`
	// State is the state of the stand-in's token generator after Tokens.
	State  uint64   `json:"state"`
	Tokens []string `json:"tokens"`
	// Limit is the maximum number of tokens in the answer.
	Limit int `json:"limit"`
}

// UpstreamErrorReply is the body of an upstream's error answer.
type UpstreamErrorReply struct {
	Error UpstreamErrorDetail `json:"error"`
}

// UpstreamErrorDetail describes an error in the format of model servers.
type UpstreamErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// EngineModels is the answer to GET PathModels.
type EngineModels struct {
	Object string        `json:"object"`
	Data   []EngineModel `json:"data"`
}

// EngineModel is one model or adapter of an EngineModels.
type EngineModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// EngineRequest is a completion request as decoded by a stand-in engine.
type EngineRequest struct {
	ChatRequest
	StreamOptions StreamOptions `json:"stream_options"`
}

// StreamOptions are options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// EngineChunk is a streamed event or a complete answer, with token usage.
type EngineChunk struct {
	ChatChunk
	Usage *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// JournalLine is one line of a stand-in's journal file. Exactly one field is set.
type JournalLine struct {
	// Run is a request accepted by an engine, Call one that a service ran.
	Run  *EngineRun `json:"run,omitempty"`
	Call *Execution `json:"call,omitempty"`
	// Order is an order that arrived at an engine.
	Order *OrderArrival `json:"order,omitempty"`
	// UsedBytes is an engine's memory use after a change.
	UsedBytes int64 `json:"used-bytes,omitempty"`
}
