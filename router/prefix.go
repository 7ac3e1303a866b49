package router

import "container/list"

// Part is the beginning of a prompt up to the end of one of its parts.
type Part struct {
	// Hash stands for the model, the adapter and all parts up to this one.
	Hash uint64
	// Tokens is the length up to the end of this part.
	Tokens int
}

// keptShare is the part of an engine's memory in which prompts are believed to
// stay: running requests use the rest.
const keptShare = 0.35

// prefixes is what an engine is believed to keep of prompts that this entry
// sent it, the one used least lately last. It is not safe for concurrent use.
type prefixes struct {
	order *list.List
	known map[uint64]*list.Element
	// total is the tokens of all parts, each counted with those before it.
	total int
}

type keptPart struct {
	hash   uint64
	tokens int
}

func newPrefixes() *prefixes {
	return &prefixes{order: list.New(), known: map[uint64]*list.Element{}}
}

// cached returns how many tokens of a prompt are believed to be kept.
func (p *prefixes) cached(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if p.known[part.Hash] == nil {
			break
		}
		tokens = part.Tokens
	}
	return tokens
}

// use notes that the parts of a prompt were sent. Capacity is the engine's
// memory, in tokens.
func (p *prefixes) use(parts []Part, capacity int) {
	before := 0
	for _, part := range parts {
		if element := p.known[part.Hash]; element != nil {
			p.order.MoveToFront(element)
		} else {
			kept := keptPart{hash: part.Hash, tokens: part.Tokens - before}
			p.known[part.Hash] = p.order.PushFront(kept)
			p.total += kept.tokens
		}
		before = part.Tokens
	}
	for float64(p.total) > keptShare*float64(capacity) && p.order.Len() > 0 {
		last := p.order.Back()
		kept := p.order.Remove(last).(keptPart)
		delete(p.known, kept.hash)
		p.total -= kept.tokens
	}
}
