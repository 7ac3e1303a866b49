// Package recorder stores a member's hard state, log and snapshots in the files of
// a folder. Appended data is durable once Sync has returned, and loaded data once Open
// has. After a failure nothing more is written: the process must exit, because a later successful sync does not
// prove that an earlier write is durable.
//
// The writes of a sync are stored in a segment as one frame with a checksum of its
// offset, batch number and content, so after a crash it is either complete or
// ignored. The next frame is written only after the sync. An invalid frame that is
// followed by a valid one therefore indicates corruption, and one that is not is an
// incomplete last write.
package recorder

import (
	"io"
	"slices"

	"burdocklink/replicator"
)

// DefaultSegmentBytes is the default of Settings.SegmentBytes.
const DefaultSegmentBytes = 16 << 20

// Settings configure a Recorder.
type Settings struct {
	Folder string
	// Files is the file system; nil means that of the operating system.
	Files FileSystem
	// SegmentBytes is the size at which a new segment is started; zero means
	// DefaultSegmentBytes.
	SegmentBytes int64
	// Founders are stored with the identity of a new folder.
	Founders []Founder
}

// Founder is a member that may form a group.
type Founder struct{ Name, Address string }

// Loaded is the state stored in a folder.
type Loaded struct {
	// Disk is the random identity of the folder.
	Disk string
	// Founders are those that the folder was created with. There are none after content was
	// set aside, which may have belonged to a group.
	Founders  []Founder
	HardState replicator.HardState
	Snapshot  replicator.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []replicator.Entry
	// CutBytes is the length of the incomplete write that was removed from the end
	// of the log.
	CutBytes int
	// SetAside is set if earlier content of the folder was set aside.
	SetAside bool
}

// Recorder writes to a folder. It is not safe for concurrent use.
type Recorder struct {
	folder       string
	files        FileSystem
	lock         io.Closer
	segmentBytes int64
	founders     []Founder
	segments     []segment
	file         File
	size         int64
	batch        uint64
	// hardState and base are repeated at the start of each segment.
	hardState replicator.HardState
	base      logBase
	// buffer contains the records of the next frame.
	buffer []byte
	// snapshotStored is set if a snapshot was stored since obsolete files were
	// last removed.
	snapshotStored bool
	failed         error
}

// logBase is the position that the entries of the log follow.
type logBase struct{ index, term uint64 }

// segment is a file of the log. lastIndex is the highest index of its entries.
type segment struct {
	number    uint64
	lastIndex uint64
}

// Open loads a folder, which it creates if it is missing, and starts a new segment
// in it.
func Open(settings Settings) (*Recorder, Loaded, error) {
	r := newRecorder(settings)
	loaded, err := r.open()
	if err != nil {
		return nil, Loaded{}, err
	}
	return r, loaded, nil
}

func newRecorder(settings Settings) *Recorder {
	r := &Recorder{folder: settings.Folder, files: settings.Files, segmentBytes: settings.SegmentBytes, founders: settings.Founders}
	if r.files == nil {
		r.files = systemFiles{}
	}
	if r.segmentBytes == 0 {
		r.segmentBytes = DefaultSegmentBytes
	}
	return r
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

// releaseLock unlocks the folder and returns the given error.
func (r *Recorder) releaseLock(err error) error {
	_ = r.lock.Close()
	return err
}

// Append adds a write. Its snapshot is durable when Append returns, the rest after
// the next Sync.
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

// Sync makes all appended writes durable.
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

// Close closes and unlocks the folder. Writes that are not synced may be lost.
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

// rotate starts a new segment and, after a snapshot, removes obsolete files.
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

// startSegment creates a segment that starts with the hard state and the base.
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

// removeObsolete removes the segments and snapshots that the last snapshot replaced.
// It removes the oldest first, and each durably before the next, so that the
// remaining ones never have a gap.
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
