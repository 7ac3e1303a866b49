package recorder

import (
	"encoding/binary"
	"slices"

	"burdocklink/encoder"
	"burdocklink/replicator"
)

// floorBytes is the length of a floor's record.
const floorBytes = 16

// load reads the folder.
func (r *Recorder) load() (Loaded, error) {
	names, err := r.files.List(r.folder)
	if err != nil {
		return Loaded{}, &FailedError{Action: "list folder", Cause: err}
	}
	if err := r.removePartial(names); err != nil {
		return Loaded{}, err
	}
	var loaded Loaded
	if loaded.Disk, err = r.loadIdentity(names); err != nil {
		return Loaded{}, err
	}
	if loaded.Snapshot, err = r.loadSnapshot(names); err != nil {
		return Loaded{}, err
	}
	replayed, err := r.loadLog(names)
	if err != nil {
		return Loaded{}, err
	}
	if err := replayed.follow(loaded.Snapshot); err != nil {
		return Loaded{}, err
	}
	loaded.Hard = replayed.hard
	loaded.Entries = replayed.entries
	loaded.CutBytes = replayed.cut
	r.hard = replayed.hard
	r.floor = floor{index: loaded.Snapshot.Index, term: loaded.Snapshot.Term}
	if replayed.reset {
		r.addFloor(true)
	}
	return loaded, nil
}

// removePartial removes files whose writing was not finished.
func (r *Recorder) removePartial(names []string) error {
	for _, name := range names {
		if name != partialSnapshot && name != partialIdentity {
			continue
		}
		if err := r.remove(name); err != nil {
			return &FailedError{Action: "remove " + name, Cause: err}
		}
	}
	return nil
}

// loadLog replays all segments.
func (r *Recorder) loadLog(names []string) (*replay, error) {
	var numbers []uint64
	for _, name := range names {
		if number, is := parseName(name, segmentPrefix); is {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	p := &replay{}
	for at, number := range numbers {
		p.last = at == len(numbers)-1
		if err := r.loadSegment(p, number); err != nil {
			return nil, err
		}
	}
	r.batch = p.batch
	return p, nil
}

func (r *Recorder) loadSegment(p *replay, number uint64) error {
	name := segmentName(number)
	data, err := r.files.Read(r.path(name))
	if err != nil {
		return &FailedError{Action: "read " + name, Cause: err}
	}
	p.segment = segment{number: number}
	sound, err := p.frames(name, data)
	if err != nil {
		return err
	}
	if sound < len(data) {
		p.cut = len(data) - sound
		if err := r.cut(name, int64(sound)); err != nil {
			return &FailedError{Action: "cut " + name, Cause: err}
		}
	}
	r.segments = append(r.segments, p.segment)
	return nil
}

// cut removes the torn end of a segment.
func (r *Recorder) cut(name string, size int64) error {
	file, err := r.files.Append(r.path(name))
	if err != nil {
		return err
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

// replay is the state after the frames read so far.
type replay struct {
	hard    replicator.HardState
	floor   floor
	entries []replicator.Entry
	batch   uint64
	segment segment
	// last says that the segment is the last one, which alone may be torn.
	last  bool
	cut   int
	reset bool
}

// frames replays a segment and returns how many bytes of it are sound.
func (p *replay) frames(name string, data []byte) (int, error) {
	offset := 0
	for offset < len(data) {
		content, batch, ok := openFrame(data, offset)
		if !ok {
			if !p.last || laterFrame(data, offset, p.batch+1) {
				return 0, &DamagedError{File: name, Reason: "a frame before the end does not match its checksum"}
			}
			return offset, nil
		}
		if p.batch > 0 && batch != p.batch+1 {
			return 0, &DamagedError{File: name, Reason: "a frame is missing before it"}
		}
		if err := p.frame(name, content); err != nil {
			return 0, err
		}
		p.batch = batch
		offset += frameHead + len(content)
	}
	return offset, nil
}

func (p *replay) frame(name string, content []byte) error {
	records, ok := splitRecords(content)
	if !ok {
		return &DamagedError{File: name, Reason: "a frame does not hold whole records"}
	}
	for _, one := range records {
		if err := p.record(name, one); err != nil {
			return err
		}
	}
	return nil
}

func (p *replay) record(name string, one record) error {
	switch one.kind {
	case hardRecord:
		hard, err := encoder.DecodeHardState(one.data)
		p.hard = hard
		return err
	case floorRecord, resetRecord:
		return p.setFloor(name, one)
	case entryRecord:
		entry, err := encoder.DecodeEntry(one.data)
		if err != nil {
			return err
		}
		return p.entry(name, entry)
	default:
		return &DamagedError{File: name, Reason: "a record has an unknown kind"}
	}
}

func (p *replay) setFloor(name string, one record) error {
	if len(one.data) != floorBytes {
		return &DamagedError{File: name, Reason: "a floor has a wrong length"}
	}
	p.floor.index = binary.LittleEndian.Uint64(one.data)
	p.floor.term = binary.LittleEndian.Uint64(one.data[8:])
	if one.kind == resetRecord {
		p.entries = nil
		return nil
	}
	p.entries = after(p.entries, p.floor.index)
	return nil
}

// entry appends an entry; one at an index that is there replaces all from
// there on. The oldest segment may begin anywhere.
func (p *replay) entry(name string, entry replicator.Entry) error {
	p.segment.last = max(p.segment.last, entry.Index)
	if entry.Index <= p.floor.index {
		return &DamagedError{File: name, Reason: "an entry stands before the snapshot"}
	}
	if len(p.entries) == 0 {
		p.entries = append(p.entries, entry)
		return nil
	}
	first := p.entries[0].Index
	if entry.Index > first+uint64(len(p.entries)) {
		return &DamagedError{File: name, Reason: "entries are missing"}
	}
	if entry.Index <= first {
		p.entries = nil
	} else {
		p.entries = p.entries[:entry.Index-first]
	}
	p.entries = append(p.entries, entry)
	return nil
}

// follow makes the entries continue the snapshot. Where the last floor was
// not written yet, entries stay only if they contain the snapshot's place.
func (p *replay) follow(snapshot replicator.Snapshot) error {
	if p.floor.index > snapshot.Index {
		return &DamagedError{File: snapshotName(p.floor.index), Reason: "it is missing"}
	}
	if p.floor.index < snapshot.Index && !p.contains(snapshot) {
		p.reset = len(p.entries) > 0
		p.entries = nil
		return nil
	}
	p.entries = after(p.entries, snapshot.Index)
	if len(p.entries) > 0 && p.entries[0].Index != snapshot.Index+1 {
		return &DamagedError{File: segmentName(p.segment.number), Reason: "entries after the snapshot are missing"}
	}
	return nil
}

func (p *replay) contains(snapshot replicator.Snapshot) bool {
	return slices.ContainsFunc(p.entries, func(e replicator.Entry) bool {
		return e.Index == snapshot.Index && e.Term == snapshot.Term
	})
}

// after returns the entries with a higher index.
func after(entries []replicator.Entry, index uint64) []replicator.Entry {
	at := slices.IndexFunc(entries, func(e replicator.Entry) bool { return e.Index > index })
	if at < 0 {
		return nil
	}
	return entries[at:]
}
