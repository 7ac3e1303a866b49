//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

const (
	// partRequests is how many requests the callers send, 15 at a time, and partBytes how
	// long the list of prompt parts is in each: the whole header has less than the 16,384
	// bytes of maxHeaderBytes.
	partRequests = 4000
	partBytes    = 15500
)

// playParts has callers send prompts of very many parts that count no tokens, to a model that
// is there, and watches the memory of the entry.
func playParts(s *system, trouble bool) (bool, error) {
	for range 4 {
		if _, err := s.addServer("llm", "m0"); err != nil {
			return false, err
		}
	}
	services := []map[string]any{engineService("llm", model("m0", 72700, 8.6))}
	chat := streamingRoute("chat", "/chat/", "llm")
	if err := s.start(1, configuration(5, []map[string]any{chat}, services)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	entry := s.entries[0]
	if got := s.send(entry, ordinary("/chat/1", "m0")); got.status != http.StatusOK {
		return false, fmt.Errorf("no stream in calm: %v", got)
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	results := map[int]int{}
	work := make(chan int)
	for range 15 {
		group.Add(1)
		go func() {
			defer group.Done()
			for at := range work {
				q := ordinary("/chat/bad", "m0")
				if trouble {
					q.parts = shortParts(at)
				}
				got := s.send(entry, q)
				mutex.Lock()
				results[got.status]++
				mutex.Unlock()
			}
		}()
	}
	over := time.Time{}
	for at := range partRequests {
		work <- at
		now, _ := entry.memory()
		if at%200 == 0 {
			s.add("%d requests sent, %s uses %d MB", at, entry.name, now>>20)
		}
		if now > memoryMb<<20 || !entry.running() {
			over = time.Now()
			s.add("after %d requests %s uses %d MB of %d MB, running %v", at, entry.name, now>>20, memoryMb, entry.running())
			break
		}
	}
	close(work)
	group.Wait()
	s.add("answers by status (0: none): %v", results)
	started := time.Now()
	got := s.send(entry, ordinary("/chat/2", "m0"))
	s.add("an ordinary caller: %v after %d ms", got, time.Since(started).Milliseconds())
	time.Sleep(5 * time.Second)
	now, peak := entry.memory()
	s.add("5 s after the last request: running %v, memory %d MB, at most %d MB", entry.running(), now>>20, peak>>20)
	return !over.IsZero(), nil
}

// shortParts returns a list of parts that no other request has. None counts a token.
func shortParts(number int) string {
	var parts strings.Builder
	for at := 0; parts.Len() < partBytes; at++ {
		if at > 0 {
			parts.WriteByte(',')
		}
		fmt.Fprintf(&parts, "%x:0", number<<11+at)
	}
	return parts.String()
}
