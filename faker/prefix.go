package faker

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdocklink/encoder"
)

const (
	// blockTokens is the size of a cache block in prompt tokens.
	blockTokens = 16
	// maxCacheEvents is the number of latest events that are kept.
	maxCacheEvents = 4096
	eventStored    = "stored"
	eventEvicted   = "evicted"
)

// block identifies a cache block by its model and the hash of the prompt up to
// its end.
type block struct {
	model  string
	prefix uint64
}

// cacheEvent is an event and the time from which it is readable.
type cacheEvent struct {
	encoder.CacheEvent
	readableFrom time.Time
}

// prefixCache is a cache of prompt prefixes with LRU eviction of blocks.
type prefixCache struct {
	limit  int
	lag    time.Duration
	faults *faults

	mu       sync.Mutex
	order    *list.List
	blocks   map[block]*list.Element
	sequence uint64
	events   []cacheEvent
}

func newPrefixCache(limit int, lag time.Duration, faults *faults) *prefixCache {
	return &prefixCache{
		limit:  limit,
		lag:    lag,
		faults: faults,
		order:  list.New(),
		blocks: map[block]*list.Element{},
	}
}

// PrefixHashes returns the hash of the prompt up to the end of each complete
// block, as used in cache events.
func PrefixHashes(model, prompt string) []uint64 {
	hashes := []uint64{}
	state := hash(hashOffset, model)
	const size = blockTokens * bytesPerToken
	for len(prompt) >= size {
		state = hash(state, prompt[:size])
		prompt = prompt[size:]
		hashes = append(hashes, state)
	}
	return hashes
}

// add caches a prompt and returns how many of its leading tokens were cached
// before.
func (c *prefixCache) add(model, prompt string) int {
	if c.limit == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, hit := 0, true
	for _, prefix := range PrefixHashes(model, prompt) {
		found := c.blocks[block{model, prefix}]
		hit = hit && found != nil
		if hit {
			cached += blockTokens
		}
		if found != nil {
			c.order.MoveToFront(found)
			continue
		}
		c.store(block{model, prefix})
	}
	return cached
}

// store adds a block and evicts the least recently used one over the limit. The
// mutex must be held.
func (c *prefixCache) store(added block) {
	c.blocks[added] = c.order.PushFront(added)
	c.publish(eventStored, added)
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Remove(c.order.Back()).(block)
	delete(c.blocks, oldest)
	c.publish(eventEvicted, oldest)
}

// publish appends an event. Where the fault is active, each n-th event is
// dropped and leaves a gap in the sequence. The mutex must be held.
func (c *prefixCache) publish(kind string, changed block) {
	c.sequence++
	faults := c.faults.get()
	if faults.DropCacheEvents > 0 && c.sequence%uint64(faults.DropCacheEvents) == 0 {
		return
	}
	late := time.Duration(faults.LateCacheEventMilliseconds) * time.Millisecond
	c.events = append(c.events, cacheEvent{
		CacheEvent: encoder.CacheEvent{
			Sequence: c.sequence,
			Kind:     kind,
			Model:    changed.model,
			Prefix:   changed.prefix,
		},
		readableFrom: time.Now().Add(c.lag + late),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the readable events after a sequence number.
func (c *prefixCache) after(sequence uint64, now time.Time) encoder.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := encoder.CacheEvents{Events: []encoder.CacheEvent{}, Oldest: c.sequence + 1}
	if len(c.events) > 0 {
		reply.Oldest = c.events[0].Sequence
	}
	for _, each := range c.events {
		if each.Sequence > sequence && !each.readableFrom.After(now) {
			reply.Events = append(reply.Events, each.CacheEvent)
		}
	}
	return reply
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	reply := e.cache.after(after, time.Now())
	reply.Incarnation = e.settings.Incarnation
	answer(w, http.StatusOK, reply)
}
