package recorder_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"burdocklink/recorder"
	"burdocklink/replicator"
)

const (
	folder         = "data"
	workloadWrites = 40
	segmentBytes   = 600
)

// model is the expected state of a folder.
type model struct {
	hardState replicator.HardState
	snapshot  replicator.Snapshot
	entries   []replicator.Entry
}

// apply returns the model with a write applied.
func (m model) apply(write replicator.Write) model {
	if write.HardState != nil {
		m.hardState = *write.HardState
	}
	if s := write.Snapshot; s != nil {
		var retained []replicator.Entry
		for _, entry := range m.entries {
			if entry.Index > s.Index && !write.Reset {
				retained = append(retained, entry)
			}
		}
		m.snapshot, m.entries = *s, retained
	}
	if len(write.Entries) > 0 {
		keep := write.Entries[0].Index - m.snapshot.Index - 1
		m.entries = append(m.entries[:keep:keep], write.Entries...)
	}
	return m
}

func (m model) lastIndex() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// randomWrite returns a random write that a core could make in the model's state.
func randomWrite(random *rand.Rand, m model) replicator.Write {
	var write replicator.Write
	term := m.hardState.Term
	if random.IntN(4) == 0 || term == 0 {
		term++
		write.HardState = &replicator.HardState{Group: "g", Term: term, Vote: replicator.Identity{Name: "a"}}
	}
	if random.IntN(8) == 0 && len(m.entries) > 0 {
		entry := m.entries[random.IntN(len(m.entries))]
		write.Snapshot = &replicator.Snapshot{Index: entry.Index, Term: entry.Term, Data: []byte("state")}
		return write
	}
	if random.IntN(12) == 0 {
		index := m.lastIndex() + uint64(random.IntN(5)) + 1
		write.Snapshot = &replicator.Snapshot{Index: index, Term: term, Data: []byte("sent")}
		write.Reset = true
		return write
	}
	first := m.lastIndex() + 1
	if random.IntN(6) == 0 {
		first -= uint64(random.IntN(len(m.entries) + 1))
	}
	for i := range 1 + random.IntN(4) {
		write.Entries = append(write.Entries, replicator.Entry{
			Index:   first + uint64(i),
			Term:    term,
			Stamp:   time.Unix(int64(first), 0).UTC(),
			Payload: replicator.Opaque{Data: make([]byte, 1+random.IntN(60))},
		})
	}
	return write
}

// runWorkload performs workloadWrites writes, or less if one fails. It returns the
// acknowledged state and the failed write.
func runWorkload(random *rand.Rand, files recorder.FileSystem, m model) (model, *replicator.Write) {
	r, _, err := recorder.Open(recorder.Settings{Folder: folder, Files: files, SegmentBytes: segmentBytes})
	if err != nil {
		return m, nil
	}
	for range workloadWrites {
		write := randomWrite(random, m)
		if r.Append(write) != nil || r.Sync() != nil {
			return m, &write
		}
		m = m.apply(write)
	}
	return m, nil
}

// matches reports whether the loaded state is the model, or the model with the
// unacknowledged write or its snapshot applied.
func matches(loaded recorder.Loaded, m model, write *replicator.Write) bool {
	allowed := []model{m}
	if write != nil {
		allowed = append(allowed, m.apply(*write))
		if write.Snapshot != nil {
			allowed = append(allowed, m.apply(replicator.Write{Snapshot: write.Snapshot, Reset: write.Reset}))
		}
	}
	for _, candidate := range allowed {
		same := cmp.Equal(loaded.HardState, candidate.hardState) && cmp.Equal(loaded.Snapshot, candidate.snapshot)
		if same && len(loaded.Entries) == len(candidate.entries) && (len(candidate.entries) == 0 || cmp.Equal(loaded.Entries, candidate.entries)) {
			return true
		}
	}
	return false
}

// TestCrashAtEveryWrite crashes at each file system action in turn, and again while
// the folder is reopened. It checks that acknowledged writes are not lost.
func TestCrashAtEveryWrite(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		for crashAt := 1; ; crashAt++ {
			files := newMemoryFiles(seed)
			files.crashAt = crashAt
			random := rand.New(rand.NewPCG(seed, 3))
			m, write := runWorkload(random, files, model{})
			if !files.crashed {
				break
			}
			files = files.restart()
			files.crashAt = 1 + random.IntN(12)
			if r, _, err := recorder.Open(recorder.Settings{Folder: folder, Files: files}); err == nil {
				_ = r.Close()
			}
			files = files.restart()
			_, loaded, err := recorder.Open(recorder.Settings{Folder: folder, Files: files})
			assert.NilError(t, err, "seed %d crash at %d", seed, crashAt)
			assert.Assert(t, matches(loaded, m, write), "seed %d crash at %d: %+v, want %+v and %+v",
				seed, crashAt, loaded, m, write)
		}
	}
}

// TestMemberStartsAfterKillAndPowerLoss kills the process at each file system action
// in turn, then cuts the power at another one while the folder is reopened.
func TestMemberStartsAfterKillAndPowerLoss(t *testing.T) {
	const seeds, openings = 12, 12
	for seed := range uint64(seeds) {
		for crashAt := 1; ; crashAt++ {
			random := rand.New(rand.NewPCG(seed, 3))
			files := newMemoryFiles(seed)
			files.crashAt = crashAt
			m, write := runWorkload(random, files, model{})
			if !files.crashed {
				break
			}
			files = files.kill()
			files.crashAt = 1 + random.IntN(openings)
			read, opened := openFolder(files)
			files = files.restart()
			loaded, err := loadFolder(files)
			assert.NilError(t, err, "seed %d crash at %d", seed, crashAt)
			if opened {
				assert.Assert(t, cmp.Equal(loaded.HardState, read.HardState) && cmp.Equal(loaded.Entries, read.Entries),
					"seed %d crash at %d: state that was reported as stored is lost", seed, crashAt)
			}
			assert.Assert(t, matches(loaded, m, write), "seed %d crash at %d", seed, crashAt)
		}
	}
}

// TestIdentityIsKeptWhenNewFolderIsKilledAndLosesPower interrupts the first start of
// a folder at each file system action, then the second one by a power loss.
func TestIdentityIsKeptWhenNewFolderIsKilledAndLosesPower(t *testing.T) {
	const seeds, openings = 40, 12
	for seed := range uint64(seeds) {
		for killAt := 1; killAt <= openings; killAt++ {
			for crashAt := 1; crashAt <= openings; crashAt++ {
				files := newMemoryFiles(seed)
				files.crashAt = killAt
				openFolder(files)
				files = files.kill()
				files.crashAt = crashAt
				read, opened := openFolder(files)
				loaded, err := loadFolder(files.restart())
				assert.NilError(t, err, "seed %d kill at %d crash at %d", seed, killAt, crashAt)
				assert.Assert(t, !opened || loaded.Disk == read.Disk, "seed %d kill at %d crash at %d", seed, killAt, crashAt)
			}
		}
	}
}

// TestStateSurvivesSeriesOfKillsAndPowerLosses alternates kills and power losses at
// random actions, also while the folder is opened.
func TestStateSurvivesSeriesOfKillsAndPowerLosses(t *testing.T) {
	const seeds, crashes, maxActions = 400, 8, 60
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 4))
		files := newMemoryFiles(seed)
		m, write := model{}, (*replicator.Write)(nil)
		for crash := range crashes {
			files.crashAt = 1 + random.IntN(maxActions)
			r, loaded, err := recorder.Open(recorder.Settings{Folder: folder, Files: files, SegmentBytes: segmentBytes})
			if err == nil {
				assert.Assert(t, matches(loaded, m, write), "seed %d crash %d", seed, crash)
				m, write = writeUntilCrash(random, r, model{loaded.HardState, loaded.Snapshot, loaded.Entries})
			} else {
				assert.Assert(t, files.crashed, "seed %d crash %d: %v", seed, crash, err)
			}
			if random.IntN(2) == 0 {
				files = files.kill()
			} else {
				files = files.restart()
			}
		}
	}
}

// writeUntilCrash writes until a write fails. It returns the acknowledged state and
// the failed write.
func writeUntilCrash(random *rand.Rand, r *recorder.Recorder, m model) (model, *replicator.Write) {
	for {
		write := randomWrite(random, m)
		if r.Append(write) != nil || r.Sync() != nil {
			return m, &write
		}
		m = m.apply(write)
	}
}

// TestDamagedFolderIsSetAsideOnce interrupts SetAside at each file system action, by a
// kill or a power loss, and then opens the folder.
func TestDamagedFolderIsSetAsideOnce(t *testing.T) {
	const seeds = 40
	crashes := map[string]func(*memoryFiles) *memoryFiles{
		"kill":       (*memoryFiles).kill,
		"power loss": (*memoryFiles).restart,
	}
	for name, crash := range crashes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				for crashAt := 1; ; crashAt++ {
					files := newMemoryFiles(seed)
					m, _ := runWorkload(rand.New(rand.NewPCG(seed, 3)), files, model{})
					before, err := loadFolder(files)
					assert.NilError(t, err)
					files.actions, files.crashAt = 0, crashAt
					started := recorder.SetAside(recorder.Settings{Folder: folder, Files: files}) == nil
					ended := !files.crashed
					loaded, err := loadFolder(crash(files))
					assert.NilError(t, err, "seed %d crash at %d", seed, crashAt)
					if loaded.Disk == before.Disk {
						assert.Assert(t, !started && !loaded.SetAside && matches(loaded, m, nil), "seed %d crash at %d", seed, crashAt)
					} else {
						assert.Assert(t, loaded.SetAside && matches(loaded, model{}, nil), "seed %d crash at %d", seed, crashAt)
					}
					if ended {
						break
					}
				}
			}
		})
	}
}

// loadFolder opens a folder and returns its state.
func loadFolder(files recorder.FileSystem) (recorder.Loaded, error) {
	r, loaded, err := recorder.Open(recorder.Settings{Folder: folder, Files: files, SegmentBytes: segmentBytes})
	if err == nil {
		_ = r.Close()
	}
	return loaded, err
}

// openFolder is loadFolder for a folder that may crash while it is opened.
func openFolder(files recorder.FileSystem) (recorder.Loaded, bool) {
	loaded, err := loadFolder(files)
	return loaded, err == nil
}

func TestFailedWritesAreFinal(t *testing.T) {
	faults := map[string]func(*memoryFiles){
		"failed sync": func(m *memoryFiles) { m.failSync = m.actions + 1 },
		"full disk":   func(m *memoryFiles) { m.fullAt = m.actions + 1 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			files := newMemoryFiles(1)
			r, _, err := recorder.Open(recorder.Settings{Folder: folder, Files: files})
			assert.NilError(t, err)
			write := randomWrite(files.random, model{})
			fault(files)
			assert.NilError(t, r.Append(write))
			assert.ErrorType(t, r.Sync(), &recorder.StorageError{})
			assert.ErrorType(t, r.Append(write), &recorder.StorageError{})
			assert.ErrorType(t, r.Sync(), &recorder.StorageError{})
			_, loaded, err := recorder.Open(recorder.Settings{Folder: folder, Files: files.restart()})
			assert.NilError(t, err)
			assert.Assert(t, matches(loaded, model{}, &write))
		})
	}
}

// writeFolder performs writes in a real folder and returns the expected state.
func writeFolder(t *testing.T, path string) model {
	t.Helper()
	random := rand.New(rand.NewPCG(5, 5))
	r, _, err := recorder.Open(recorder.Settings{Folder: path})
	assert.NilError(t, err)
	m := model{}
	for range workloadWrites {
		write := randomWrite(random, m)
		assert.NilError(t, r.Append(write))
		assert.NilError(t, r.Sync())
		m = m.apply(write)
	}
	assert.NilError(t, r.Close())
	return m
}

// lastSegment returns the path and content of the last log segment.
func lastSegment(t *testing.T, path string) (string, []byte) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(path, "log-*"))
	assert.NilError(t, err)
	name := names[len(names)-1]
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	return name, data
}

func TestFolderKeepsIdentityAndContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new", "data")
	m := writeFolder(t, path)
	r, loaded, err := recorder.Open(recorder.Settings{Folder: path})
	assert.NilError(t, err)
	assert.Assert(t, matches(loaded, m, nil))
	_, _, err = recorder.Open(recorder.Settings{Folder: path})
	assert.ErrorContains(t, err, "another process")
	assert.NilError(t, r.Close())
	_, again, err := recorder.Open(recorder.Settings{Folder: path})
	assert.NilError(t, err)
	assert.Equal(t, again.Disk, loaded.Disk)
	assert.Assert(t, matches(again, m, nil))
}

func TestTornTailIsTruncated(t *testing.T) {
	path := t.TempDir()
	m := writeFolder(t, path)
	name, data := lastSegment(t, path)
	assert.NilError(t, os.WriteFile(name, append(data, data[:9]...), 0o600))
	_, loaded, err := recorder.Open(recorder.Settings{Folder: path})
	assert.NilError(t, err)
	assert.Equal(t, loaded.CutBytes, 9)
	assert.Assert(t, matches(loaded, m, nil))
}

func TestCorruptionIsDetected(t *testing.T) {
	damage := map[string]func(t *testing.T, path string){
		"middle of the log": func(t *testing.T, path string) {
			name, data := lastSegment(t, path)
			data[len(data)/3] ^= 1
			assert.NilError(t, os.WriteFile(name, data, 0o600))
		},
		"lost identity": func(t *testing.T, path string) {
			assert.NilError(t, os.Remove(filepath.Join(path, "disk-id")))
		},
		"lost snapshot": func(t *testing.T, path string) {
			names, err := filepath.Glob(filepath.Join(path, "snapshot-*"))
			assert.NilError(t, err)
			for _, name := range names {
				assert.NilError(t, os.Remove(name))
			}
		},
	}
	for name, inflict := range damage {
		t.Run(name, func(t *testing.T) {
			path := t.TempDir()
			writeFolder(t, path)
			inflict(t, path)
			_, _, err := recorder.Open(recorder.Settings{Folder: path})
			assert.ErrorType(t, err, &recorder.CorruptionError{})
		})
	}
}
