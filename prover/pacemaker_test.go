package prover_test

import (
	"crypto/sha256"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pacePause is the time between two pieces of work of a pacemaker, and
	// paceBytes the size of one: about a tenth of a millisecond.
	pacePause = 20 * time.Millisecond
	paceBytes = 128 << 10
)

// pacemaker does the same small piece of work again and again and measures its
// processor time: other work on a busy machine slows a core down, and what
// processes use grows with it.
type pacemaker struct {
	stop  chan struct{}
	ended sync.WaitGroup
	count int
	sum   time.Duration
	least time.Duration
}

func startPacemaker() *pacemaker {
	p := &pacemaker{stop: make(chan struct{})}
	p.ended.Go(p.run)
	return p
}

func (p *pacemaker) run() {
	// the time is that of the thread
	runtime.LockOSThread()
	work := make([]byte, paceBytes)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(pacePause):
		}
		before := threadTime()
		sha256.Sum256(work)
		took := threadTime() - before
		p.count++
		p.sum += took
		if p.least == 0 || took < p.least {
			p.least = took
		}
	}
}

// end stops the work and returns by how much a core was slower than in its best
// moment.
func (p *pacemaker) end() float64 {
	close(p.stop)
	p.ended.Wait()
	if p.least <= 0 {
		return 1
	}
	return float64(p.sum) / float64(p.count) / float64(p.least)
}

// threadTime is the processor time of the calling thread.
func threadTime() time.Duration {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at) != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
