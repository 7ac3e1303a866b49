package router

import "container/list"

// Prefix is the beginning of a prompt up to the end of one of its parts.
type Prefix struct {
	// Hash stands for the model, the adapter and all parts up to this one.
	Hash uint64
	// Tokens is the length up to the end of this part.
	Tokens int
}

// prefixCacheShare is the part of an engine's memory in which prompts are believed to
// stay: running requests use the rest.
const prefixCacheShare = 0.35

// prefixCache is what an engine is believed to keep of prompts that this entry
// sent it, the one used least lately last. It is not safe for concurrent use.
type prefixCache struct {
	recency  *list.List
	segments map[uint64]*list.Element
	// totalTokens is the tokens of all parts, each counted with those before it.
	totalTokens int
}

type segment struct {
	hash   uint64
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), segments: map[uint64]*list.Element{}}
}

// cachedTokens returns how many tokens of a prompt are believed to be kept.
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

// record notes that the parts of a prompt were sent. Capacity is the engine's
// memory, in tokens.
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
