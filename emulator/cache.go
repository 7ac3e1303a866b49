package emulator

import "slices"

// prefixCache is an LRU cache of prompt prefixes, limited in tokens.
type prefixCache struct {
	limit      int
	usedTokens int
	// entries are ordered from the least to the most recently used.
	entries []prefixEntry
}

type prefixEntry struct {
	prefix uint64
	tokens int
}

// access caches a prefix as the most recently used and returns how many of its
// tokens were cached before.
func (c *prefixCache) access(prefix uint64, tokens int) int {
	if prefix == 0 || tokens == 0 {
		return 0
	}
	hit := 0
	at := slices.IndexFunc(c.entries, func(e prefixEntry) bool { return e.prefix == prefix })
	if at >= 0 {
		hit = min(tokens, c.entries[at].tokens)
		c.usedTokens -= c.entries[at].tokens
		c.entries = slices.Delete(c.entries, at, at+1)
	}
	c.entries = append(c.entries, prefixEntry{prefix: prefix, tokens: tokens})
	c.usedTokens += tokens
	for c.usedTokens > c.limit && len(c.entries) > 0 {
		c.usedTokens -= c.entries[0].tokens
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	return hit
}

// prefixes returns the cached prefixes, the least recently used first.
func (c *prefixCache) prefixes() []uint64 {
	prefixes := make([]uint64, 0, len(c.entries))
	for _, e := range c.entries {
		prefixes = append(prefixes, e.prefix)
	}
	return prefixes
}
