package recorder

import (
	"encoding/binary"
	"slices"

	"burdocklink/encoder"
	"burdocklink/replicator"
)

// baseRecordBytes is the length of a base or reset record's data.
const baseRecordBytes = 16

// load loads the state stored in the folder.
func (r *Recorder) load() (Loaded, error) {
	names, err := r.prepareFolder()
	if err != nil {
		return Loaded{}, err
	}
	loaded := Loaded{SetAside: slices.Contains(names, setAside)}
	if loaded.SetAside {
		r.founders = nil
	}
	if loaded.Disk, loaded.Founders, err = r.loadIdentity(names); err != nil {
		return Loaded{}, err
	}
	if loaded.Snapshot, err = r.loadSnapshot(names); err != nil {
		return Loaded{}, err
	}
	replayed, err := r.loadLog(names)
	if err != nil {
		return Loaded{}, err
	}
	if err := replayed.alignWithSnapshot(loaded.Snapshot); err != nil {
		return Loaded{}, err
	}
	loaded.HardState = replayed.hardState
	loaded.Entries = replayed.entries
	loaded.CutBytes = replayed.cutBytes
	r.hardState = replayed.hardState
	r.base = logBase{index: loaded.Snapshot.Index, term: loaded.Snapshot.Term}
	if replayed.reset {
		r.addBase(true)
	}
	return loaded, nil
}

// prepareFolder completes what a crash interrupted and returns the names of the files.
func (r *Recorder) prepareFolder() ([]string, error) {
	names, err := r.listFiles()
	if err != nil {
		return nil, err
	}
	if err := r.removePartial(names); err != nil {
		return nil, err
	}
	// a killed process may have left names that are not durable
	if err := r.files.SyncFolder(r.folder); err != nil {
		return nil, &StorageError{Action: "sync folder", Cause: err}
	}
	if err := r.finishSettingAside(names); err != nil {
		return nil, err
	}
	return r.listFiles()
}

func (r *Recorder) listFiles() ([]string, error) {
	names, err := r.files.List(r.folder)
	if err != nil {
		return nil, &StorageError{Action: "list folder", Cause: err}
	}
	return names, nil
}

// removePartial removes files that were not written completely.
func (r *Recorder) removePartial(names []string) error {
	for _, name := range names {
		if name != partialSnapshot && name != partialIdentity && name != partialSettingAside {
			continue
		}
		if err := r.remove(name); err != nil {
			return &StorageError{Action: "remove " + name, Cause: err}
		}
	}
	return nil
}

// loadLog replays all segments.
func (r *Recorder) loadLog(names []string) (*replay, error) {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parseName(name, segmentPrefix); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	p := &replay{}
	for i, number := range numbers {
		p.lastSegment = i == len(numbers)-1
		if err := r.replaySegment(p, number); err != nil {
			return nil, err
		}
	}
	r.batch = p.batch
	return p, nil
}

func (r *Recorder) replaySegment(p *replay, number uint64) error {
	name := segmentName(number)
	data, err := r.files.Read(r.path(name))
	if err != nil {
		return &StorageError{Action: "read " + name, Cause: err}
	}
	p.segment = segment{number: number}
	valid, err := p.replayFrames(name, data)
	if err != nil {
		return err
	}
	p.cutBytes = len(data) - valid
	if err := r.syncSegment(name, int64(valid), p.cutBytes > 0); err != nil {
		return &StorageError{Action: "sync " + name, Cause: err}
	}
	r.segments = append(r.segments, p.segment)
	return nil
}

// syncSegment makes a segment's frames durable, because a killed process may have
// written them without a sync. With truncate it first removes what follows size.
func (r *Recorder) syncSegment(name string, size int64, truncate bool) error {
	file, err := r.files.Append(r.path(name))
	if err != nil {
		return err
	}
	if truncate {
		err = file.Truncate(size)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// replay is the state after replaying the frames read so far.
type replay struct {
	hardState replicator.HardState
	base      logBase
	entries   []replicator.Entry
	batch     uint64
	segment   segment
	// lastSegment is set for the last segment. Only this one may end with an
	// incomplete write.
	lastSegment bool
	cutBytes    int
	reset       bool
}

// replayFrames replays a segment and returns the length of its valid part in bytes.
func (p *replay) replayFrames(name string, data []byte) (int, error) {
	offset := 0
	for offset < len(data) {
		content, batch, ok := decodeFrame(data, offset)
		if !ok {
			if !p.lastSegment || hasLaterFrame(data, offset, p.batch+1) {
				return 0, &CorruptionError{File: name, Reason: "a frame before the end does not match its checksum"}
			}
			return offset, nil
		}
		if p.batch > 0 && batch != p.batch+1 {
			return 0, &CorruptionError{File: name, Reason: "a frame is missing before it"}
		}
		if err := p.replayFrame(name, content); err != nil {
			return 0, err
		}
		p.batch = batch
		offset += frameHeaderBytes + len(content)
	}
	return offset, nil
}

func (p *replay) replayFrame(name string, content []byte) error {
	records, ok := splitRecords(content)
	if !ok {
		return &FormatError{File: name, Reason: "a frame does not hold whole records"}
	}
	for _, rec := range records {
		if err := p.replayRecord(name, rec); err != nil {
			return err
		}
	}
	return nil
}

func (p *replay) replayRecord(name string, rec record) error {
	switch rec.kind {
	case hardStateRecord:
		hardState, err := encoder.DecodeHardState(rec.data)
		p.hardState = hardState
		return err
	case baseRecord, resetRecord:
		return p.setBase(name, rec)
	case entryRecord:
		entry, err := encoder.DecodeEntry(rec.data)
		if err != nil {
			return err
		}
		return p.replayEntry(name, entry)
	default:
		return &FormatError{File: name, Reason: "a record has an unknown kind"}
	}
}

func (p *replay) setBase(name string, rec record) error {
	if len(rec.data) != baseRecordBytes {
		return &FormatError{File: name, Reason: "a base record has a wrong length"}
	}
	p.base.index = binary.LittleEndian.Uint64(rec.data)
	p.base.term = binary.LittleEndian.Uint64(rec.data[8:])
	if rec.kind == resetRecord {
		p.entries = nil
		return nil
	}
	p.entries = entriesAfter(p.entries, p.base.index)
	return nil
}

// replayEntry adds an entry. It replaces all entries from its index on. The first
// entry of the oldest segment may have any index.
func (p *replay) replayEntry(name string, entry replicator.Entry) error {
	p.segment.lastIndex = max(p.segment.lastIndex, entry.Index)
	if entry.Index <= p.base.index {
		return &CorruptionError{File: name, Reason: "an entry stands before the snapshot"}
	}
	if len(p.entries) == 0 {
		p.entries = append(p.entries, entry)
		return nil
	}
	first := p.entries[0].Index
	if entry.Index > first+uint64(len(p.entries)) {
		return &CorruptionError{File: name, Reason: "entries are missing"}
	}
	if entry.Index <= first {
		p.entries = nil
	} else {
		p.entries = p.entries[:entry.Index-first]
	}
	p.entries = append(p.entries, entry)
	return nil
}

// alignWithSnapshot drops the entries that do not follow the snapshot. If the base
// record of the snapshot was not written before a crash, entries are kept only if
// they include the entry that the snapshot ends with.
func (p *replay) alignWithSnapshot(snapshot replicator.Snapshot) error {
	if p.base.index > snapshot.Index {
		return &CorruptionError{File: snapshotName(p.base.index), Reason: "it is missing"}
	}
	if p.base.index < snapshot.Index && !p.contains(snapshot) {
		p.reset = len(p.entries) > 0
		p.entries = nil
		return nil
	}
	p.entries = entriesAfter(p.entries, snapshot.Index)
	if len(p.entries) > 0 && p.entries[0].Index != snapshot.Index+1 {
		return &CorruptionError{File: segmentName(p.segment.number), Reason: "entries after the snapshot are missing"}
	}
	return nil
}

func (p *replay) contains(snapshot replicator.Snapshot) bool {
	return slices.ContainsFunc(p.entries, func(e replicator.Entry) bool {
		return e.Index == snapshot.Index && e.Term == snapshot.Term
	})
}

// entriesAfter returns the entries after an index.
func entriesAfter(entries []replicator.Entry, index uint64) []replicator.Entry {
	at := slices.IndexFunc(entries, func(e replicator.Entry) bool { return e.Index > index })
	if at < 0 {
		return nil
	}
	return entries[at:]
}
