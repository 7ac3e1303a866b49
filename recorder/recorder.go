// Package recorder keeps a member's hard state, log and snapshots in the files
// of one folder. What was appended lasts once Sync has returned. After a
// failure nothing more is written: the process must end, because a later sync
// proves nothing about an earlier write.
//
// A write reaches its segment as one frame with a checksum over its place, its
// number and its content, and is whole or absent after a crash. The next frame
// is written only after a sync, so a bad frame with a good later one is damage,
// and one without is the torn end of the last write.
package recorder

import (
	"io"
	"slices"

	"burdocklink/replicator"
)

// DefaultSegmentBytes is the standard size at which a new segment begins.
const DefaultSegmentBytes = 16 << 20

// Settings says where a Recorder writes.
type Settings struct {
	Folder string
	// Files is the file system; nil is the operating system's.
	Files FileSystem
	// SegmentBytes is the size at which a new segment begins; zero means the
	// standard.
	SegmentBytes int64
}

// Loaded is what a folder holds.
type Loaded struct {
	// Disk is the random identity of the folder.
	Disk      string
	HardState replicator.HardState
	Snapshot  replicator.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replicator.Entry
	// CutBytes is the length of the torn tail that was cut off.
	CutBytes int
}

// Recorder writes to one folder. It is not safe for concurrent use.
type Recorder struct {
	folder       string
	files        FileSystem
	lock         io.Closer
	segmentBytes int64
	segments     []segment
	file         File
	size         int64
	batch        uint64
	// hardState and floor are repeated at the head of each segment.
	hardState      replicator.HardState
	base           logBase
	buffer         []byte
	snapshotStored bool
	failed         error
}

// logBase is the place that the entries of the log follow.
type logBase struct{ index, term uint64 }

// segment is one file of the log; last is its highest entry.
type segment struct {
	number    uint64
	lastIndex uint64
}

// Open loads a folder, which is made where it is missing, and begins a new
// segment in it.
func Open(settings Settings) (*Recorder, Loaded, error) {
	r := &Recorder{folder: settings.Folder, files: settings.Files, segmentBytes: settings.SegmentBytes}
	if r.files == nil {
		r.files = systemFiles{}
	}
	if r.segmentBytes == 0 {
		r.segmentBytes = DefaultSegmentBytes
	}
	loaded, err := r.open()
	if err != nil {
		return nil, Loaded{}, err
	}
	return r, loaded, nil
}

func (r *Recorder) open() (Loaded, error) {
	if err := r.files.CreateFolder(r.folder); err != nil {
		return Loaded{}, &StorageError{Action: "make folder", Cause: err}
	}
	lock, err := r.files.Lock(r.path(lockName))
	if err != nil {
		return Loaded{}, &StorageError{Action: "lock folder", Cause: err}
	}
	r.lock = lock
	loaded, err := r.load()
	if err == nil {
		err = r.startSegment()
	}
	if err != nil {
		return Loaded{}, r.releaseLock(err)
	}
	return loaded, nil
}

// releaseLock lets go of the folder after a failed opening.
func (r *Recorder) releaseLock(err error) error {
	_ = r.lock.Close()
	return err
}

// Append adds a write. Its snapshot is on the disk when Append returns; the
// rest is after the next Sync.
func (r *Recorder) Append(write replicator.Write) error {
	if r.failed != nil {
		return r.failed
	}
	if write.Snapshot != nil {
		if err := r.storeSnapshot(*write.Snapshot); err != nil {
			return r.fail("store snapshot", err)
		}
	}
	if err := r.encode(write); err != nil {
		return r.fail("encode", err)
	}
	return nil
}

// Sync makes all that was appended last.
func (r *Recorder) Sync() error {
	if r.failed != nil {
		return r.failed
	}
	if err := r.flush(); err != nil {
		return r.fail("sync", err)
	}
	if !r.snapshotStored && r.size < r.segmentBytes {
		return nil
	}
	if err := r.rotate(); err != nil {
		return r.fail("begin segment", err)
	}
	return nil
}

// Close lets go of the folder. What was not synced may be lost.
func (r *Recorder) Close() error {
	err := r.file.Close()
	if unlockErr := r.lock.Close(); err == nil {
		err = unlockErr
	}
	if r.failed == nil {
		r.failed = &StorageError{Action: "write", Cause: &ClosedError{}}
	}
	return err
}

func (r *Recorder) fail(action string, cause error) error {
	r.failed = &StorageError{Action: action, Cause: cause}
	return r.failed
}

// flush writes the buffer as one frame and syncs the file.
func (r *Recorder) flush() error {
	if len(r.buffer) == 0 {
		return nil
	}
	frame := encodeFrame(r.buffer, r.size, r.batch+1)
	n, err := r.file.Write(frame)
	if err != nil {
		return err
	}
	if n < len(frame) {
		return io.ErrShortWrite
	}
	if err := r.file.Sync(); err != nil {
		return err
	}
	r.batch++
	r.size += int64(len(frame))
	r.buffer = r.buffer[:0]
	return nil
}

// encode adds the records of a write to the buffer.
func (r *Recorder) encode(write replicator.Write) error {
	if write.HardState != nil {
		r.hardState = *write.HardState
		if err := r.addHardState(); err != nil {
			return err
		}
	}
	if s := write.Snapshot; s != nil {
		r.base = logBase{index: s.Index, term: s.Term}
		r.snapshotStored = true
		r.addBase(write.Reset)
	}
	current := &r.segments[len(r.segments)-1]
	for _, entry := range write.Entries {
		if err := r.addEntry(entry); err != nil {
			return err
		}
		current.lastIndex = max(current.lastIndex, entry.Index)
	}
	return nil
}

// rotate begins a new segment and removes what a snapshot has replaced.
func (r *Recorder) rotate() error {
	if err := r.file.Close(); err != nil {
		return err
	}
	if err := r.startSegment(); err != nil {
		return err
	}
	if !r.snapshotStored {
		return nil
	}
	r.snapshotStored = false
	return r.removeObsolete()
}

// startSegment makes a new segment with the state that it builds on.
func (r *Recorder) startSegment() error {
	next := segment{number: 1}
	if n := len(r.segments); n > 0 {
		next.number = r.segments[n-1].number + 1
	}
	file, err := r.files.Append(r.path(segmentName(next.number)))
	if err != nil {
		return err
	}
	r.file, r.size = file, 0
	r.segments = append(r.segments, next)
	if err := r.addHardState(); err != nil {
		return err
	}
	r.addBase(false)
	if err := r.flush(); err != nil {
		return err
	}
	return r.files.SyncFolder(r.folder)
}

// removeObsolete removes segments and snapshots from the oldest on, each for good
// before the next, so that no gap can appear between those that remain.
func (r *Recorder) removeObsolete() error {
	for len(r.segments) > 1 && r.segments[0].lastIndex <= r.base.index {
		if err := r.remove(segmentName(r.segments[0].number)); err != nil {
			return err
		}
		r.segments = slices.Delete(r.segments, 0, 1)
	}
	names, err := r.files.List(r.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		index, ok := parseName(name, snapshotPrefix)
		if !ok || index >= r.base.index {
			continue
		}
		if err := r.remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (r *Recorder) remove(name string) error {
	if err := r.files.Remove(r.path(name)); err != nil {
		return err
	}
	return r.files.SyncFolder(r.folder)
}
