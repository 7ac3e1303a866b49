package recorder_test

import (
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"burdocklink/recorder"
)

// crashedError is returned by every action after the simulated crash.
type crashedError struct{}

func (*crashedError) Error() string { return "crashed" }

// memoryFile is the content of a file, and the part that is synced.
type memoryFile struct{ data, synced []byte }

// nameChange creates, renames or removes a file name. It is not durable until the
// folder is synced.
type nameChange struct {
	from, to string
	file     *memoryFile
}

// memoryFiles is an in-memory file system that crashes at a chosen action.
type memoryFiles struct {
	random  *rand.Rand
	names   map[string]*memoryFile
	durable map[string]*memoryFile
	pending []nameChange
	// actions counts the actions so far; crashAt is the number of the action at
	// which the file system crashes, or zero.
	actions int
	crashAt int
	crashed bool
	// failSync makes the first sync from that action number on fail, fullAt the
	// write with that action number. Neither causes a crash.
	failSync int
	fullAt   int
}

func newMemoryFiles(seed uint64) *memoryFiles {
	return &memoryFiles{
		random:  rand.New(rand.NewPCG(seed, 2)),
		names:   map[string]*memoryFile{},
		durable: map[string]*memoryFile{},
	}
}

func (m *memoryFiles) countAction() error {
	m.actions++
	if m.crashed || m.actions == m.crashAt {
		m.crashed = true
		return &crashedError{}
	}
	return nil
}

// kill returns the file system after the process was killed. Names and content
// survive, but stay as unsynced as they were.
func (m *memoryFiles) kill() *memoryFiles {
	killed := newMemoryFiles(m.random.Uint64())
	killed.names, killed.durable, killed.pending = m.names, m.durable, m.pending
	return killed
}

// restart returns the file system after a power loss. Each unsynced name change
// survives or is lost independently, and of each file's unsynced bytes a random
// prefix survives, in which a byte may be corrupted.
func (m *memoryFiles) restart() *memoryFiles {
	restarted := newMemoryFiles(m.random.Uint64())
	for _, change := range m.pending {
		if m.random.IntN(2) == 0 {
			change.apply(m.durable)
		}
	}
	for name, file := range m.durable {
		data := slices.Clone(file.synced)
		if len(file.data) >= len(data) {
			rest := slices.Clone(file.data[len(data):])
			rest = rest[:m.random.IntN(len(rest)+1)]
			if len(rest) > 0 && m.random.IntN(2) == 0 {
				rest[m.random.IntN(len(rest))] ^= 0xff
			}
			data = append(data, rest...)
		}
		survivor := &memoryFile{data: data, synced: slices.Clone(data)}
		restarted.names[name], restarted.durable[name] = survivor, survivor
	}
	return restarted
}

func (a nameChange) apply(names map[string]*memoryFile) {
	if a.from != "" {
		delete(names, a.from)
	}
	if a.to != "" {
		names[a.to] = a.file
	}
}

func (m *memoryFiles) changeName(change nameChange) {
	change.apply(m.names)
	m.pending = append(m.pending, change)
}

func (m *memoryFiles) CreateFolder(string) error { return m.countAction() }

func (m *memoryFiles) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (m *memoryFiles) Append(path string) (recorder.File, error) {
	if err := m.countAction(); err != nil {
		return nil, err
	}
	if m.names[path] == nil {
		m.changeName(nameChange{to: path, file: &memoryFile{}})
	}
	return &openFile{files: m, file: m.names[path]}, nil
}

func (m *memoryFiles) Read(path string) ([]byte, error) {
	file := m.names[path]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (m *memoryFiles) List(string) ([]string, error) {
	var names []string
	for path := range m.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if err := m.countAction(); err != nil {
		return err
	}
	m.changeName(nameChange{from: from, to: to, file: m.names[from]})
	return nil
}

func (m *memoryFiles) Remove(path string) error {
	if err := m.countAction(); err != nil {
		return err
	}
	m.changeName(nameChange{from: path})
	return nil
}

func (m *memoryFiles) SyncFolder(string) error {
	if err := m.countAction(); err != nil {
		return err
	}
	for _, change := range m.pending {
		change.apply(m.durable)
	}
	m.pending = nil
	return nil
}

// openFile is an open file of memoryFiles.
type openFile struct {
	files *memoryFiles
	file  *memoryFile
}

func (o *openFile) Write(data []byte) (int, error) {
	err := o.files.countAction()
	if err != nil || o.files.actions == o.files.fullAt {
		data = data[:o.files.random.IntN(len(data)+1)]
		if err == nil {
			err = syscall.ENOSPC
		}
	}
	o.file.data = append(o.file.data, data...)
	return len(data), err
}

func (o *openFile) Sync() error {
	if err := o.files.countAction(); err != nil {
		return err
	}
	if o.files.actions >= o.files.failSync && o.files.failSync > 0 {
		o.files.failSync = 0
		return syscall.EIO
	}
	o.file.synced = slices.Clone(o.file.data)
	return nil
}

func (o *openFile) Truncate(size int64) error {
	if err := o.files.countAction(); err != nil {
		return err
	}
	o.file.data = o.file.data[:size]
	return nil
}

func (o *openFile) Close() error { return nil }
