package router

import "container/list"

// Prefix is a prompt prefix that ends with one of the prompt's parts.
type Prefix struct {
	// Hash identifies the model, the adapter and all parts of the prefix.
	Hash uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// prefixCacheShare is the fraction of an engine's KV cache in which prompts are
// expected to stay; running requests use the rest.
const prefixCacheShare = 0.35

// prefixCache models the prefix cache of an engine for the prompts that this entry sent
// to it, evicting the least recently used segment. It is not safe for concurrent use.
type prefixCache struct {
	recency  *list.List
	segments map[uint64]*list.Element
	// totalTokens is the length of all segments. A segment excludes the shorter prefix
	// it extends.
	totalTokens int
}

type segment struct {
	hash   uint64
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), segments: map[uint64]*list.Element{}}
}

// cachedTokens returns how many tokens of a prompt are expected to be cached.
func (p *prefixCache) cachedTokens(prefixes []Prefix) int {
	tokens := 0
	for _, prefix := range prefixes {
		if p.segments[prefix.Hash] == nil {
			break
		}
		tokens = prefix.Tokens
	}
	return tokens
}

// record records that a prompt was sent. Capacity is the size of the engine's KV cache,
// in tokens.
func (p *prefixCache) record(prefixes []Prefix, capacity int) {
	before := 0
	for _, prefix := range prefixes {
		if element := p.segments[prefix.Hash]; element != nil {
			p.recency.MoveToFront(element)
		} else {
			added := segment{hash: prefix.Hash, tokens: prefix.Tokens - before}
			p.segments[prefix.Hash] = p.recency.PushFront(added)
			p.totalTokens += added.tokens
		}
		before = prefix.Tokens
	}
	for float64(p.totalTokens) > prefixCacheShare*float64(capacity) && p.recency.Len() > 0 {
		last := p.recency.Back()
		evicted := p.recency.Remove(last).(segment)
		delete(p.segments, evicted.hash)
		p.totalTokens -= evicted.tokens
	}
}
