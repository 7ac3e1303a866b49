//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["unreadable"] = playUnreadable }

// unreadableTime is how long callers try.
const unreadableTime = 30 * time.Second

// playUnreadable has an entry in the platform's list whose bytes can't be read, from before the
// traffic starts, and callers that look up a status and use a model.
func playUnreadable(s *system, trouble bool) (bool, error) {
	for range 3 {
		if _, err := s.addServer("llm", "m0"); err != nil {
			return false, err
		}
		if _, err := s.addServer("app"); err != nil {
			return false, err
		}
	}
	s.mutex.Lock()
	s.oddItem = fmt.Sprintf(`{"id":"i-9999","service":"app","address":%q}`, s.address(serverNet+"99", 0))
	if trouble {
		// cut off before the end of a field
		s.oddItem = s.oddItem[:len(s.oddItem)-len(`"}`)]
	}
	s.add("the first entry of the list: %s", s.oddItem)
	s.mutex.Unlock()
	services := []map[string]any{engineService("llm", model("m0", 72700, 8.6)), plainService("app")}
	routes := []map[string]any{streamingRoute("chat", "/chat/", "llm"), plainRoute("status", "/status/", "idempotent", "app")}
	if err := s.start(2, configuration(5, routes, services)); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	calls := newCalls()
	var group sync.WaitGroup
	until := time.Now().Add(unreadableTime)
	for _, n := range s.entries {
		for _, q := range []request{plain("/status/1"), ordinary("/chat/1", "m0")} {
			group.Add(1)
			go func() {
				defer group.Done()
				for time.Now().Before(until) {
					calls.record(q.path, s.send(n, q))
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
	}
	group.Wait()
	s.add("callers for %v: %v", unreadableTime, calls)
	s.tellRuns()
	for _, n := range s.entries {
		if lines := n.grep("platform list read status changed"); len(lines) > 0 {
			s.add("%s: %s", n.name, lines[len(lines)-1])
		}
	}
	return calls.share("") == 0, nil
}
