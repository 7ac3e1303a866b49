package encoder

import "time"

// Paths of the stand-ins beside those of the upstream protocol.
const (
	// PathRecord gives what a stand-in saw and did.
	PathRecord = "/v1/record"
	// PathFaults takes EngineFaults or ServiceFaults by POST.
	PathFaults = "/v1/faults"
	// PathLeave makes an upstream say that it leaves, by POST.
	PathLeave = "/v1/leave"
)

// EngineFaults are the faults of a stand-in engine. Each POST replaces all of
// them; the zero value behaves.
type EngineFaults struct {
	// CutAfterTokens closes the connection of a stream after as many events.
	CutAfterTokens int `json:"cut-after-tokens,omitempty"`
	// CutTimes is how many streams are cut; zero cuts every one.
	CutTimes int `json:"cut-times,omitempty"`
	// ReorderEvents swaps neighbouring events of a stream.
	ReorderEvents bool `json:"reorder-events,omitempty"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"duplicate-events,omitempty"`
	// ForgetStreams answers a resume as if the stream had never been.
	ForgetStreams bool `json:"forget-streams,omitempty"`
	// SilenceOpen leaves the streams that are open now without another byte;
	// later ones work.
	SilenceOpen bool `json:"silence-open,omitempty"`
	// SilenceAll leaves every stream without a byte.
	SilenceAll bool `json:"silence-all,omitempty"`
	// Frozen stops everything but the record and the faults.
	Frozen bool `json:"frozen,omitempty"`
	// SlowFactor divides the speed; zero and one leave it.
	SlowFactor float64 `json:"slow-factor,omitempty"`
	// RefuseRequests answers 503 with HeaderNotRun.
	RefuseRequests bool `json:"refuse-requests,omitempty"`
	// LoseOrders drops as many orders unseen.
	LoseOrders int `json:"lose-orders,omitempty"`
	// LoseOrderReplies takes as many orders and drops the answer.
	LoseOrderReplies int `json:"lose-order-replies,omitempty"`
	// LateOrders lets as many orders arrive late and drops the answer.
	LateOrders int `json:"late-orders,omitempty"`
	// LateOrderMilliseconds is how late they arrive.
	LateOrderMilliseconds int `json:"late-order-milliseconds,omitempty"`
	// LateCacheEventMilliseconds delays cache events further.
	LateCacheEventMilliseconds int `json:"late-cache-event-milliseconds,omitempty"`
	// DropCacheEvents leaves out one in as many cache events.
	DropCacheEvents int `json:"drop-cache-events,omitempty"`
}

// ServiceFaults are the faults of a stand-in plain service.
type ServiceFaults struct {
	// RefuseRequests answers 503 with HeaderNotRun and does not run.
	RefuseRequests bool `json:"refuse-requests,omitempty"`
	// FailAfterRun answers 503 without HeaderNotRun after it ran.
	FailAfterRun bool `json:"fail-after-run,omitempty"`
	// HangAfterRun runs the request and never answers.
	HangAfterRun bool `json:"hang-after-run,omitempty"`
	// CutAfterRun runs the request and closes the connection.
	CutAfterRun bool `json:"cut-after-run,omitempty"`
	// DelayMilliseconds is added before a request runs.
	DelayMilliseconds int `json:"delay-milliseconds,omitempty"`
	// Frozen stops everything but the record and the faults.
	Frozen bool `json:"frozen,omitempty"`
}

// EngineRecord is what a stand-in engine saw and did.
type EngineRecord struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
	MemoryBytes int64  `json:"memory-bytes"`
	UsedBytes   int64  `json:"used-bytes"`
	// MostUsedBytes is the highest memory use so far, loads under way
	// included.
	MostUsedBytes int64 `json:"most-used-bytes"`
	// Violations are the promises that an order broke, in words.
	Violations []string       `json:"violations"`
	Leaving    time.Time      `json:"leaving,omitzero"`
	Runs       []EngineRun    `json:"runs"`
	Orders     []OrderArrival `json:"orders"`
	Models     []string       `json:"models"`
	Adapters   []string       `json:"adapters"`
}

// EngineRun is one request that an upstream took.
type EngineRun struct {
	RequestID string    `json:"request-id"`
	Path      string    `json:"path"`
	Model     string    `json:"model,omitempty"`
	Started   time.Time `json:"started"`
	// State is waiting, running, done or cancelled.
	State  string `json:"state"`
	Tokens int    `json:"tokens"`
	// PromptTokens and CachedTokens are the prompt's length and how much of
	// it came from the prefix cache.
	PromptTokens int  `json:"prompt-tokens"`
	CachedTokens int  `json:"cached-tokens"`
	Priority     int  `json:"priority"`
	Imported     bool `json:"imported,omitempty"`
}

// OrderArrival is one arrival of an order at an engine.
type OrderArrival struct {
	OrderRequest
	Arrived time.Time `json:"arrived"`
	State   string    `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	// Repeated is true for an ID that had arrived before.
	Repeated bool `json:"repeated,omitempty"`
}

// ServiceRecord is what a stand-in plain service ran.
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
	// Count is how many calls of the subscriber with the key have run, this one
	// included.
	Count int `json:"count"`
}

// ServiceAnswer is the body of a stand-in service's answer.
type ServiceAnswer struct {
	Upstream       string `json:"upstream"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	BodyDigest     string `json:"body-digest"`
	Count          int    `json:"count"`
}

// StoreRecord is what a stand-in weight store gave out.
type StoreRecord struct {
	Fetches int `json:"fetches"`
	// MostAtOnce is the highest number of fetches under way.
	MostAtOnce int `json:"most-at-once"`
	// MostAdaptersAtOnce is the highest number of adapters under way.
	MostAdaptersAtOnce int `json:"most-adapters-at-once"`
	// MostInSecond is the highest number of fetches begun in one second.
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
	// Oldest is the lowest sequence number that is still kept.
	Oldest uint64 `json:"oldest"`
}

// CacheEvent says that a block of a prompt's prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is stored or evicted.
	Kind  string `json:"kind"`
	Model string `json:"model"`
	// Prefix is the hash of the prompt up to the end of the block.
	Prefix uint64 `json:"prefix"`
}

// KVCache is a request's exported state.
type KVCache struct {
	RequestID string `json:"request-id"`
	Path      string `json:"path"`
	Model     string `json:"model"`
	// State is the generator's state after the tokens given.
	State  uint64   `json:"state"`
	Tokens []string `json:"tokens"`
	// Limit is how many tokens the answer has at most.
	Limit int `json:"limit"`
}

// UpstreamErrorReply is the body of an upstream's refusal.
type UpstreamErrorReply struct {
	Error UpstreamErrorDetail `json:"error"`
}

// UpstreamErrorDetail describes a refusal as model servers do.
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

// EngineModel is one model or adapter of a EngineModels.
type EngineModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// EngineRequest is a completion request as a stand-in engine reads it.
type EngineRequest struct {
	ChatRequest
	StreamOptions StreamOptions `json:"stream_options"`
}

// StreamOptions are further wishes for a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// EngineChunk is an event or a whole answer with the tokens used.
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

// JournalLine is one line of a stand-in's journal file. One of its fields is
// set.
type JournalLine struct {
	// Run is a request that an engine took, Call one that a service ran.
	Run  *EngineRun `json:"run,omitempty"`
	Call *Execution `json:"call,omitempty"`
	// Order is an order that arrived at an engine.
	Order *OrderArrival `json:"order,omitempty"`
	// UsedBytes is an engine's memory in use after a change.
	UsedBytes int64 `json:"used-bytes,omitempty"`
}
