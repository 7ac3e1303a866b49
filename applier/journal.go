package applier

import (
	"reflect"
	"time"

	"burdocklink/cataloger"
)

// JournalEntry is an operator's change with the first answer it got.
type JournalEntry struct {
	Operator     string
	RequestID    string
	BaseRevision uint64
	At           time.Time
	Changes      []cataloger.Change
	// Result is Accepted, Conflict or Invalid.
	Result Result
}

// changeKey is what identifies an operator's change. Two operators may hold
// equal numbers.
type changeKey struct{ operator, requestID string }

// journal remembers the latest operators' changes.
type journal struct {
	// revision is the one of the last accepted change.
	revision uint64
	entries  []JournalEntry
	byKey    map[changeKey]JournalEntry
	steps    int
}

func newJournal() *journal { return &journal{byKey: map[changeKey]JournalEntry{}} }

// find returns the first answer to a change. A resend has the same operator,
// number and content; the same number with other content is Invalid. The
// revision it is based on does not count: who sends a change again after a
// lost answer may have looked at the catalog anew.
func (j *journal) find(change Change) (Result, bool) {
	first, known := j.byKey[changeKey{change.Operator, change.RequestID}]
	if !known {
		return nil, false
	}
	if !equalChanges(first.Changes, change.Changes) {
		return Invalid{Reason: "request number was used for another change"}, true
	}
	return first.Result, true
}

func equalChanges(a, b []cataloger.Change) bool {
	return len(a) == len(b) && (len(a) == 0 || reflect.DeepEqual(a, b))
}

func (j *journal) add(entry JournalEntry) {
	if accepted, ok := entry.Result.(Accepted); ok {
		j.revision = accepted.Revision
	}
	j.entries = append(j.entries, entry)
	j.byKey[changeKey{entry.Operator, entry.RequestID}] = entry
	j.steps += len(entry.Changes)
	for len(j.entries) > MaxJournalEntries || j.steps > MaxJournalSteps {
		j.dropOldest()
	}
}

func (j *journal) dropOldest() {
	oldest := j.entries[0]
	j.entries[0] = JournalEntry{}
	j.entries = j.entries[1:]
	j.steps -= len(oldest.Changes)
	delete(j.byKey, changeKey{oldest.Operator, oldest.RequestID})
}

func (j *journal) accepted() []AcceptedChange {
	var records []AcceptedChange
	for _, entry := range j.entries {
		accepted, ok := entry.Result.(Accepted)
		if !ok {
			continue
		}
		records = append(records, AcceptedChange{
			Operator:  entry.Operator,
			RequestID: entry.RequestID,
			At:        entry.At,
			Revision:  accepted.Revision,
			Changes:   entry.Changes,
		})
	}
	return records
}
