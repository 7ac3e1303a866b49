package prover_test

import (
	"crypto/sha256"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A probe hashes probeBytes, which takes about 0.1 ms, every probeInterval.
	probeInterval = 20 * time.Millisecond
	probeBytes    = 128 << 10
)

// cpuProbe measures by how much other load slows the CPU down, from the CPU time
// of a small fixed piece of work. The CPU time of other processes grows by the
// same factor.
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
	// threadCPUTime is per thread
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

// end stops the probe and returns the mean CPU time divided by the minimum.
func (p *cpuProbe) end() float64 {
	close(p.stop)
	p.ended.Wait()
	if p.minimum <= 0 {
		return 1
	}
	return float64(p.sum) / float64(p.count) / float64(p.minimum)
}

// threadCPUTime returns the CPU time of the calling thread.
func threadCPUTime() time.Duration {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at) != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
