package prover

import "slices"

// Check returns every violation of a guarantee that the records show. The
// records may be in any order.
func Check(records []Record, limits Limits) []Violation {
	seen := newHistory(records)
	return slices.Concat(
		seen.checkMemory(),
		seen.checkCopies(limits),
		seen.checkAnswers(),
		seen.checkOutcomes(),
		seen.checkRepeats(),
		seen.checkLeaving(limits),
		seen.checkShutdowns(),
		seen.checkInForce(limits),
		seen.checkReverts(),
		seen.checkAccepts(),
	)
}

// history holds the records by type. Those whose order matters are sorted by
// time.
type history struct {
	answers   []Answer
	runs      []Run
	memory    []Memory
	copies    []Copies
	lost      []Loss
	leaving   []Leaving
	shutdowns []Shutdown
	accepted  []Accepted
	revisions []Revision
}

func newHistory(records []Record) *history {
	seen := &history{}
	for _, record := range records {
		seen.add(record)
	}
	slices.SortStableFunc(seen.runs, func(a, b Run) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(seen.copies, func(a, b Copies) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(seen.accepted, func(a, b Accepted) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(seen.revisions, func(a, b Revision) int { return a.At.Compare(b.At) })
	return seen
}

func (h *history) add(record Record) {
	switch each := record.(type) {
	case Answer:
		h.answers = append(h.answers, each)
	case Run:
		h.runs = append(h.runs, each)
	case Memory:
		h.memory = append(h.memory, each)
	case Copies:
		h.copies = append(h.copies, each)
	case Loss:
		h.lost = append(h.lost, each)
	case Leaving:
		h.leaving = append(h.leaving, each)
	case Shutdown:
		h.shutdowns = append(h.shutdowns, each)
	case Accepted:
		h.accepted = append(h.accepted, each)
	case Revision:
		h.revisions = append(h.revisions, each)
	}
}
