package claimer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table holds the claims of one group. It is not safe for concurrent use.
//
// A claim is held from the grant until its deadline. A Finish stores the answer.
// At the deadline the outcome of an unfinished claim becomes unknown, and the
// claim is never granted again. A later Finish of the holder still replaces the
// unknown outcome, since the answer proves that the request ran. A Release is
// accepted only before the deadline: afterwards callers may have got the answer
// that the outcome is unknown, which must remain true.
//
// A resend gets the stored answer until AnswerExpiresAt, then AnswerDropped
// until ExpiresAt. After that the key is unknown: a resend that states when it
// was issued gets TooOld and is not run, and a resend without that time is
// treated as a new request. Callers who omit the time are therefore protected
// for ClaimRetention only.
type Table struct {
	claims      map[Key]*entry
	schedule    schedule
	answers     []*entry
	storedBytes int
	serial      uint64
}

// New returns an empty table.
func New() *Table { return &Table{claims: map[Key]*entry{}} }

// Apply applies an event at the stamp, which must not decrease. Equal sequences
// of events and stamps give equal tables.
func (t *Table) Apply(stamp time.Time, event Event) Result {
	t.expire(stamp)
	switch event := event.(type) {
	case Open:
		return t.open(stamp, event)
	case Finish:
		return t.finish(stamp, event)
	case Release:
		return t.release(stamp, event)
	case MarkUnknown:
		return t.markUnknown(event)
	case Expire:
		return Recorded{}
	default:
		return Invalid{Reason: "unknown event"}
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.claims) }

// StoredBytes returns the total size of the stored answers.
func (t *Table) StoredBytes() int { return t.storedBytes }

// NextExpiry returns when a record next changes without an event, and false if
// none will.
func (t *Table) NextExpiry() (time.Time, bool) {
	if len(t.schedule) == 0 {
		return time.Time{}, false
	}
	return t.schedule[0].dueAt, true
}

// Records returns all records sorted by key. The answers are shared with the
// table and must not be modified.
func (t *Table) Records() []Record {
	entries := make([]*entry, 0, len(t.claims))
	for _, e := range t.claims {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return compareKeys(a.Key, b.Key) })
	records := make([]Record, 0, len(entries))
	for _, e := range entries {
		record := e.Record
		record.Released = slices.Clone(record.Released)
		records = append(records, record)
	}
	return records
}

// Serial returns the number of answers stored so far.
func (t *Table) Serial() uint64 { return t.serial }

// Restore returns a table with the given records and serial.
func Restore(records []Record, serial uint64) *Table {
	t := New()
	t.serial = serial
	for _, record := range records {
		e := &entry{Record: record}
		t.claims[record.Key] = e
		t.schedule.add(e)
		if record.AnswerStored {
			t.answers = append(t.answers, e)
			t.storedBytes += record.Answer.Size()
		}
	}
	slices.SortFunc(t.answers, func(a, b *entry) int { return cmp.Compare(a.Serial, b.Serial) })
	return t
}

func compareKeys(a, b Key) int {
	if order := strings.Compare(a.Subscriber, b.Subscriber); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

// expire applies all transitions that are due.
func (t *Table) expire(now time.Time) {
	for len(t.schedule) > 0 && !now.Before(t.schedule[0].dueAt) {
		t.advance(t.schedule[0], now)
	}
}

func (t *Table) advance(e *entry, now time.Time) {
	switch {
	case e.Phase == PhaseHeld:
		e.Phase = PhaseUnknown
		t.schedule.update(e)
	case !now.Before(e.ExpiresAt):
		t.dropAnswer(e)
		t.schedule.remove(e)
		delete(t.claims, e.Key)
	default:
		t.dropAnswer(e)
		t.schedule.update(e)
	}
}

func (t *Table) dropAnswer(e *entry) {
	if !e.AnswerStored {
		return
	}
	t.storedBytes -= e.Answer.Size()
	e.AnswerStored = false
	e.Answer = Answer{}
}

// storeAnswer stores an answer and drops the oldest ones beyond MaxStoredBytes.
func (t *Table) storeAnswer(e *entry, answer Answer) {
	t.serial++
	e.AnswerStored, e.Answer, e.Serial = true, answer, t.serial
	t.storedBytes += answer.Size()
	t.answers = append(t.answers, e)
	for len(t.answers) > 0 && (t.storedBytes > MaxStoredBytes || !t.answers[0].AnswerStored) {
		oldest := t.answers[0]
		t.answers[0] = nil
		t.answers = t.answers[1:]
		if oldest.AnswerStored {
			t.dropAnswer(oldest)
			t.schedule.update(oldest)
		}
	}
}
