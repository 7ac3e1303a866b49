package conductor_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/conductor"
	"burdocklink/recorder"
)

// faultyFiles is the operating system's file system with injected faults.
type faultyFiles struct {
	recorder.FileSystem
	failSync  atomic.Bool
	fullDisk  atomic.Bool
	blockSync atomic.Bool
}

func (f *faultyFiles) Append(path string) (recorder.File, error) {
	file, err := f.FileSystem.Append(path)
	return &faultyFile{File: file, files: f}, err
}

type faultyFile struct {
	recorder.File
	files *faultyFiles
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if f.files.fullDisk.Load() {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

func (f *faultyFile) Sync() error {
	for f.files.blockSync.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if f.files.failSync.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// newFaultyCluster starts three members with faulty disks, and returns the disks by
// member name. Fatal errors are sent to the channel.
func newFaultyCluster(t *testing.T, fatal chan error) (*cluster, map[string]*faultyFiles) {
	t.Helper()
	disks := map[string]*faultyFiles{}
	g := newCluster(t, func(c *conductor.Config) {
		disks[c.Name] = &faultyFiles{FileSystem: recorder.System()}
		c.Files = disks[c.Name]
		c.Fatal = func(err error) { fatal <- err }
	}, "a", "b", "c")
	return g, disks
}

func TestFailedDiskStopsTheMemberOnly(t *testing.T) {
	faults := map[string]func(*faultyFiles){
		"failed sync": func(f *faultyFiles) { f.failSync.Store(true) },
		"full disk":   func(f *faultyFiles) { f.fullDisk.Store(true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			fatal := make(chan error, 3)
			g, disks := newFaultyCluster(t, fatal)
			before := g.commit()
			failed := g.leader()
			fault(disks[failed.config.Name])
			after := g.commit()
			assert.ErrorType(t, <-fatal, &recorder.StorageError{})
			_, err := failed.Propose(context.Background(), g.model())
			assert.ErrorType(t, err, &conductor.StoppedError{})
			g.kill(failed)
			disks[failed.config.Name].failSync.Store(false)
			disks[failed.config.Name].fullDisk.Store(false)
			g.start(failed)
			g.eventually("both changes", func() bool {
				models := g.models(failed)
				return models[before].Name != "" && models[after].Name != ""
			})
		})
	}
}

func TestBlockedDiskEndsLeadership(t *testing.T) {
	g, disks := newFaultyCluster(t, make(chan error, 3))
	g.commit()
	old := g.leader()
	disks[old.config.Name].blockSync.Store(true)
	t.Cleanup(func() { disks[old.config.Name].blockSync.Store(false) })
	lost := &lostProposal{group: g, leader: old, answer: make(chan error, 1)}
	go lost.run()
	g.awaitSuccessor(old)
	g.commit()
	assert.Assert(t, <-lost.answer != nil)
	disks[old.config.Name].blockSync.Store(false)
}
