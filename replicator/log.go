package replicator

import "time"

// bounds of one message and of what may be under way to one member.
const (
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 1024
	maxWindowEntries = 8192
	maxWindowBytes   = 4 << 20
	// retainedEntries stay in memory after a snapshot, for members that are
	// only a little behind.
	retainedEntries = 1024
	// entryOverheadBytes is counted for each entry beside its data.
	entryOverheadBytes = 48
)

// log is the part of the log that is in memory: the entries after base.
type log struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// syncedIndex is up to where the disk has the log.
	syncedIndex uint64
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term gives the term of the entry at an index, if that is in memory.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *log) entryAt(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

// between returns the entries after one index up to another.
func (l *log) between(after, upTo uint64) []Entry {
	if upTo <= after {
		return nil
	}
	from, to := after-l.baseIndex, upTo-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries from an index on, as many as one message may hold.
func (l *log) batch(from uint64) []Entry {
	if from > l.lastIndex() {
		return nil
	}
	entries := l.entries[from-l.baseIndex-1:]
	bytes := 0
	for i, entry := range entries {
		bytes += entryBytes(entry)
		if i == maxAppendEntries || (i > 0 && bytes > maxAppendBytes) {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

func entryBytes(entry Entry) int {
	if opaque, ok := entry.Payload.(Opaque); ok {
		return entryOverheadBytes + len(opaque.Data)
	}
	return entryOverheadBytes
}

func (l *log) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from an index on. The remaining ones keep a
// capacity of their length, since messages may still hold what follows.
func (l *log) truncate(from uint64) {
	keep := from - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.syncedIndex = min(l.syncedIndex, from-1)
}

// firstOfTerm returns the lowest index after base in the unbroken run of the
// term that the entry at index has.
func (l *log) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.baseIndex+1 {
		previous, _ := l.term(index - 1)
		if previous != term {
			break
		}
		index--
	}
	return index
}

// compact forgets the entries up to an index.
func (l *log) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	retained := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(retained)+retainedEntries), retained...)
	l.baseIndex, l.baseTerm = index, term
}

// reset starts the log anew after a snapshot.
func (l *log) reset(index, term uint64) {
	*l = log{baseIndex: index, baseTerm: term}
}

// lastStamp is the stamp of the last entry, or zero.
func (l *log) lastStamp() time.Time {
	if len(l.entries) == 0 {
		return time.Time{}
	}
	return l.entries[len(l.entries)-1].Stamp
}
