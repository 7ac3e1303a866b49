//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// emptyParts sends requests of legal size whose prompts have very many parts without tokens,
// one after the other on a few connections, and watches the memory of the entry.
func emptyParts(r *record) (int, error) {
	s, err := newDeployment(r, 1, 3, 4)
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
	m := s.entries()[0]
	const requests, clients, parts = 1600, 8, 3900
	now, _ := m.memory()
	r.printf("%s uses %.0f MB of %d MB", m.name, now, m.memoryMB)
	work := make(chan int)
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts, headerBytes, sent := map[int]int{}, 0, 0
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for number := range work {
				// all parts but the first are the same
				prefix := fmt.Sprintf("%x:0", 0x1000+number) + strings.Repeat(",1:0", parts)
				if !troubled() {
					prefix = fmt.Sprintf("%x:300,1:200,2:100", 0x1000+number)
				}
				got := draft(m, "daka510000", prefix)
				mutex.Lock()
				counts[got.status]++
				sent++
				headerBytes = max(headerBytes, len(prefix)+300)
				if sent%200 == 0 {
					now, peak := m.memory()
					r.printf("after %d requests (answers by status %v): %s uses %.0f MB, at its peak %.0f MB, of %d MB", sent, counts, m.name, now, peak, m.memoryMB)
				}
				mutex.Unlock()
			}
		}()
	}
	started := time.Now()
	for number := range requests {
		if !m.running() || time.Since(started) > 70*time.Second {
			break
		}
		work <- number
	}
	close(work)
	group.Wait()
	if !m.running() {
		r.printf("%s: its process has ended", m.name)
		return broken, nil
	}
	time.Sleep(5 * time.Second)
	now, peak := m.memory()
	r.printf("headers of up to about %d bytes (limit 16384); 5 s after the last request %s uses %.0f MB, at its peak %.0f MB, of %d MB", headerBytes, m.name, now, peak, m.memoryMB)
	if now > float64(m.memoryMB) {
		return broken, nil
	}
	return held, nil
}
