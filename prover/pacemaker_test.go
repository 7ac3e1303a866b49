package prover_test

import (
	"crypto/sha256"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the time between two pieces of work of a pacemaker, and
	// paceBytes the size of one: about a tenth of a millisecond.
	probeInterval = 20 * time.Millisecond
	probeBytes    = 128 << 10
)

// cpuProbe does the same small piece of work again and again and measures its
// processor time: other work on a busy machine slows a core down, and what
// processes use grows with it.
type cpuProbe struct {
	stop    chan struct{}
	ended   sync.WaitGroup
	count   int
	sum     time.Duration
	minimum time.Duration
}

func startCPUProbe() *cpuProbe {
	p := &cpuProbe{stop: make(chan struct{})}
	p.ended.Go(p.run)
	return p
}

func (p *cpuProbe) run() {
	// the time is that of the thread
	runtime.LockOSThread()
	work := make([]byte, probeBytes)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(probeInterval):
		}
		before := threadCPUTime()
		sha256.Sum256(work)
		took := threadCPUTime() - before
		p.count++
		p.sum += took
		if p.minimum == 0 || took < p.minimum {
			p.minimum = took
		}
	}
}

// end stops the work and returns by how much a core was slower than in its best
// moment.
func (p *cpuProbe) end() float64 {
	close(p.stop)
	p.ended.Wait()
	if p.minimum <= 0 {
		return 1
	}
	return float64(p.sum) / float64(p.count) / float64(p.minimum)
}

// threadCPUTime is the processor time of the calling thread.
func threadCPUTime() time.Duration {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at) != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
