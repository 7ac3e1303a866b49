package conductor_test

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/conductor"
	"burdocklink/recorder"
)

// refusal is what a full disk refuses.
type refusal int32

const (
	refusesNothing refusal = iota
	refusesWrites
	// refusesSyncs is a disk that finds out only as it allocates what was written.
	refusesSyncs
	// refusesNames is a disk that refuses new files and names as well as writes.
	refusesNames
	refusals
)

// smallDisk is the operating system's file system on a disk that is full at times.
type smallDisk struct {
	recorder.FileSystem
	refusal atomic.Int32
}

func (d *smallDisk) refuses(kinds ...refusal) bool {
	now := refusal(d.refusal.Load())
	for _, kind := range kinds {
		if now == kind {
			return true
		}
	}
	return false
}

func (d *smallDisk) Append(path string) (recorder.File, error) {
	if _, err := os.Stat(path); err != nil && d.refuses(refusesNames) {
		return nil, syscall.ENOSPC
	}
	file, err := d.FileSystem.Append(path)
	return &smallDiskFile{File: file, disk: d}, err
}

func (d *smallDisk) Rename(from, to string) error {
	if d.refuses(refusesNames) {
		return syscall.ENOSPC
	}
	return d.FileSystem.Rename(from, to)
}

type smallDiskFile struct {
	recorder.File
	disk *smallDisk
}

func (f *smallDiskFile) Write(data []byte) (int, error) {
	if f.disk.refuses(refusesWrites, refusesNames) {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

func (f *smallDiskFile) Sync() error {
	if f.disk.refuses(refusesSyncs) {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

const (
	// fullDisks is how many disks are full, one after another.
	fullDisks = 8
	// maxFullTime is how long a disk is full at most.
	maxFullTime = 1500 * time.Millisecond
	// reopenDelay is how long a member waits before it opens a full disk again.
	reopenDelay   = 50 * time.Millisecond
	proposalPause = 5 * time.Millisecond
	// acceptTimeout is how long a change may wait once all members run, the least that the
	// platform states.
	acceptTimeout = 4 * time.Second
	// seedsVariable sets the number of seeds, for a longer run.
	seedsVariable = "CONDUCTOR_FULL_DISK_SEEDS"
)

// diskRun plays one seed: members whose disks are full in turn, while changes are made.
type diskRun struct {
	*cluster
	random *rand.Rand
	disks  map[string]*smallDisk
	failed map[string]chan error
}

func newDiskRun(t *testing.T, seed uint64) *diskRun {
	t.Helper()
	r := &diskRun{random: rand.New(rand.NewPCG(seed, 1)), disks: map[string]*smallDisk{}, failed: map[string]chan error{}}
	lostAfter := []time.Duration{300 * time.Millisecond, 2 * time.Second}[r.random.IntN(2)]
	snapshotEntries := uint64(10 + r.random.IntN(100))
	r.cluster = newCluster(t, func(c *conductor.Config) {
		disk, failed := &smallDisk{FileSystem: recorder.System()}, make(chan error, 1)
		r.disks[c.Name], r.failed[c.Name] = disk, failed
		c.Files, c.Voters, c.LostAfter, c.SnapshotEntries = disk, 3, lostAfter, snapshotEntries
		c.Fatal = func(err error) { failed <- err }
	}, "a", "b", "c", "d")
	return r
}

// fill fills the disk of a member for a time. The member restarts as the process does.
func (r *diskRun) fill(p *process) {
	disk := r.disks[p.config.Name]
	disk.refusal.Store(1 + r.random.Int32N(int32(refusals)-1))
	room := time.After(time.Duration(r.random.Int64N(int64(maxFullTime))))
	for full := true; full; {
		select {
		case <-room:
			disk.refusal.Store(int32(refusesNothing))
			full = false
		case err := <-r.failed[p.config.Name]:
			assert.ErrorIs(r.t, err, syscall.ENOSPC)
			r.stopMember(p)
		case <-time.After(reopenDelay):
			r.reopen(p)
		}
	}
	// the member may have found out at last
	select {
	case err := <-r.failed[p.config.Name]:
		assert.ErrorIs(r.t, err, syscall.ENOSPC)
		r.stopMember(p)
	case <-time.After(reopenDelay):
	}
	r.eventually("a member with room", func() bool { return r.reopen(p) })
}

func (r *diskRun) stopMember(p *process) {
	assert.NilError(r.t, p.Stop(time.Now().Add(waitTimeout)))
	p.server.Stop()
	p.listener, p.down = nil, true
}

// reopen starts a member that is down, and reports whether it runs.
func (r *diskRun) reopen(p *process) bool {
	if !p.down {
		return true
	}
	member, err := conductor.New(p.config)
	if errors.Is(err, syscall.ENOSPC) {
		return false
	}
	assert.NilError(r.t, err)
	p.listener, err = net.Listen("tcp", p.config.Address)
	assert.NilError(r.t, err)
	r.serve(p, member)
	return true
}

// pacedProposer leaves a pause after each change.
type pacedProposer struct{ *recordingProposer }

func (p *pacedProposer) run() {
	defer p.done.Done()
	for {
		p.propose()
		select {
		case <-p.stop:
			return
		case <-time.After(proposalPause):
		}
	}
}

// Guards against a group that refuses changes for ever after the disks of its members were full,
// one after another, although all have room again. For a longer run use
//
//	CONDUCTOR_FULL_DISK_SEEDS=50 go test -run TestChangesAreAcceptedAfterFullDisks ./conductor/
func TestChangesAreAcceptedAfterFullDisks(t *testing.T) {
	seeds := 3
	if requested, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		seeds = requested
	}
	for seed := range seeds {
		t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			r := newDiskRun(t, uint64(seed))
			r.commit()
			targets := []*process{r.processes["a"], r.processes["b"], r.processes["c"], r.processes["d"]}
			stop, done := make(chan struct{}), &sync.WaitGroup{}
			proposer := &recordingProposer{group: r.cluster, targets: targets, stop: stop, accepted: map[string]uint64{}, done: done}
			done.Add(1)
			go (&pacedProposer{proposer}).run()
			for range fullDisks {
				r.fill(targets[r.random.IntN(len(targets))])
				time.Sleep(time.Duration(r.random.Int64N(int64(time.Second))))
			}
			close(stop)
			done.Wait()
			begin := time.Now()
			r.commit()
			assert.Assert(t, time.Since(begin) < acceptTimeout, "a change took %v", time.Since(begin))
			r.awaitVoters(3)
			r.checkAccepted([]*recordingProposer{proposer})
		})
	}
}
