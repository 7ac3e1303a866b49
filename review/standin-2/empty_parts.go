//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fullMemory is a process whose machine kills it when it takes more memory than there is, and
// starts it again.
type fullMemory struct {
	*machine
	ends atomic.Int64
	peak atomic.Int64
}

// emptyParts sends requests of legal size whose prompts have very many parts without tokens,
// one after the other on a few connections, to two entries. As DEPLOY.md tells, a process that
// uses more than memoryMb is killed, and started again after a short delay.
func emptyParts(r *record) (int, error) {
	s, err := newDeployment(r, 2, 3, 4)
	if err != nil {
		return failed, err
	}
	defer s.stop()
	if err := s.start(configuration(7)); err != nil {
		return failed, err
	}
	if err := s.awaitServing(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	const clients, parts, wantedEnds, span = 8, 3900, 3, 90 * time.Second
	until := time.Now().Add(span)
	var done atomic.Bool
	var group sync.WaitGroup
	var number, served, otherwise, headerBytes, failures, ordinary atomic.Int64
	var watched []*fullMemory
	for _, m := range s.entries() {
		w := &fullMemory{machine: m}
		watched = append(watched, w)
		for range clients {
			group.Add(1)
			go func() {
				defer group.Done()
				for !done.Load() {
					// all parts but the first are the same; the tokens of a prompt stand in its last part
					first := 0x1000 + number.Add(1)
					prefix := fmt.Sprintf("%x:0", first) + strings.Repeat(",1:0", parts-2) + ",2:60"
					if !troubled() {
						prefix = fmt.Sprintf("%x:30,1:20,2:10", first)
					}
					headerBytes.Store(int64(len(prefix) + 300))
					got := ask(m.front(), "POST", "/draft/1", host, []string{
						"Burdocklink-Model: daka510000", "Burdocklink-Token-Count: 60,15", "Burdocklink-Prompt-Prefix: " + prefix,
					}, "{}", 5*time.Second)
					if got.status == 200 {
						served.Add(1)
					} else {
						otherwise.Add(1)
						time.Sleep(200 * time.Millisecond)
					}
				}
			}()
		}
		group.Add(1)
		go func() {
			defer group.Done()
			for !done.Load() {
				got := draft(m, "daka510000", "a1:300,b2:300")
				ordinary.Add(1)
				if got.status != 200 || got.err != nil {
					failures.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for !done.Load() {
		enough := true
		for _, w := range watched {
			if err := s.keepWithin(w); err != nil {
				return failed, err
			}
			enough = enough && w.ends.Load() >= wantedEnds
		}
		done.Store(enough || time.Now().After(until))
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	twice := 0
	for _, w := range watched {
		now, _ := w.memory()
		r.printf("%s: its process ended %d times over its memory (%d MB), used %d MB at most, uses %.0f MB at the end", w.name, w.ends.Load(), w.memoryMB, w.peak.Load(), now)
		if w.ends.Load() >= wantedEnds {
			twice++
		}
	}
	r.printf("%d requests of %d clients with headers of up to about %d bytes (limit 16384): %d served, %d not; of %d ordinary streams %d failed",
		number.Load(), 2*clients, headerBytes.Load(), served.Load(), otherwise.Load(), ordinary.Load(), failures.Load())
	if twice >= 2 {
		return broken, nil
	}
	return held, nil
}

// keepWithin kills a process that uses more than the memory of its machine, and starts it
// again.
func (s *system) keepWithin(w *fullMemory) error {
	if !w.running() {
		return fmt.Errorf("%s: its process has ended by itself", w.name)
	}
	now, _ := w.memory()
	w.peak.Store(max(w.peak.Load(), int64(now)))
	if now <= float64(w.memoryMB) {
		return nil
	}
	w.ends.Add(1)
	s.printf("%s uses %.0f MB of %d MB: its process is killed and started again", w.name, now, w.memoryMB)
	if err := w.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-w.ended
	time.Sleep(300 * time.Millisecond)
	return s.startProcess(w.machine, false)
}
