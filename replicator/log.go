package replicator

import "time"

// Limits of a message, and of the entries in flight to a member.
const (
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 1024
	maxWindowEntries = 8192
	maxWindowBytes   = 4 << 20
	// retainedEntries is the number of entries before a snapshot that stay in
	// memory, so that members that lag only a little need no snapshot.
	retainedEntries = 1024
	// entryOverheadBytes is added to the size of each entry's data.
	entryOverheadBytes = 48
)

// log is the in-memory part of the log: the entries after baseIndex.
type log struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// syncedIndex is the last index that is synced to disk.
	syncedIndex uint64
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, and whether it is in memory.
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

// between returns the entries after one index, up to and including another.
func (l *log) between(after, upTo uint64) []Entry {
	if upTo <= after {
		return nil
	}
	from, to := after-l.baseIndex, upTo-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns the entries from an index on that fit into one message.
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

// truncate removes the entries from an index on. It caps the slice's capacity at
// its length, because messages may still reference the removed entries.
func (l *log) truncate(from uint64) {
	keep := from - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.syncedIndex = min(l.syncedIndex, from-1)
}

// firstOfTerm returns the lowest index after baseIndex such that all entries from
// it to the given index have the same term.
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

// compact removes the entries up to an index.
func (l *log) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	retained := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(retained)+retainedEntries), retained...)
	l.baseIndex, l.baseTerm = index, term
}

// reset replaces the log by an empty one that follows a snapshot.
func (l *log) reset(index, term uint64) {
	*l = log{baseIndex: index, baseTerm: term}
}

// lastStamp returns the stamp of the last entry, or zero if the log is empty.
func (l *log) lastStamp() time.Time {
	if len(l.entries) == 0 {
		return time.Time{}
	}
	return l.entries[len(l.entries)-1].Stamp
}
