package applier

import (
	"reflect"
	"time"

	"burdocklink/cataloger"
)

// JournalEntry is an operator's change and its first result.
type JournalEntry struct {
	Operator     string
	RequestID    string
	BaseRevision uint64
	At           time.Time
	Changes      []cataloger.Change
	// Result is Accepted, Conflict or Invalid.
	Result Result
}

// changeKey identifies an operator's change. Request IDs are unique per
// operator only.
type changeKey struct{ operator, requestID string }

// journal holds the latest operators' changes, bounded by MaxJournalEntries and
// MaxJournalSteps.
type journal struct {
	// revision is the revision of the last accepted change.
	revision uint64
	entries  []JournalEntry
	byKey    map[changeKey]JournalEntry
	steps    int
}

func newJournal() *journal { return &journal{byKey: map[changeKey]JournalEntry{}} }

// find returns the first result of a change that was sent before. A resend has
// the same operator, request ID and steps; the same request ID with other steps
// is Invalid. The base revision may differ, since an operator may have read the
// catalog again after a lost reply.
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
