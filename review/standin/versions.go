//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versions }

// versions: half of the servers of a plain service start again one after the other, under the IDs
// that they had, with the next version of their software, which ends once more a second later.
// Streams that break are taken up.
func versions(s *site, trouble bool) (bool, string) {
	const count, length = 12, 30 * time.Second
	var all []*server
	for i := range count {
		each := s.servers.add("wuno96b", zones[i%3], false, "v1", nil, func(r *run) {
			r.mutex.Lock()
			software := r.software
			r.mutex.Unlock()
			s.add("request %s runs at server %s of version %s after event %q", r.request, r.id, software, r.r.Header.Get("Last-Event-Id"))
			r.stream(30*time.Millisecond, 50*time.Millisecond, 40, software, nil)
		})
		each.slots = 64
		all = append(all, each)
	}
	s.startAll(3, `{"version":7,"routes":[{"name":"r-9n73hh2","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,
"targetLatencyMs":500,"priority":1,"service":"wuno96b","maxAttempts":2,"sticky":false,"resumable":true,"gapTargetMs":250}],
"services":[{"name":"wuno96b","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	time.Sleep(3 * time.Second)
	var mutex sync.Mutex
	var streams, whole, joined int
	call := func() {
		first := s.newID()
		id, events, seen := first, 0, map[string]bool{}
		began := time.Now()
		for try := 0; try < 4 && time.Since(began) < 12*time.Second; try++ {
			a := attempt{entry: s.fronts[rand.IntN(3)], method: "POST", path: "/lohu930/" + first[12:], id: id, body: "draft " + first,
				timeout: 15*time.Second - time.Since(began), silence: 2 * time.Second, header: map[string]string{}}
			if events > 0 {
				a.header["Last-Event-Id"], a.header["Resumes"] = fmt.Sprint(events), first
			}
			got := s.send(a)
			for _, line := range got.lines {
				if got.status == 200 && strings.HasPrefix(line, "id: ") {
					events++
				}
				if text, found := strings.CutPrefix(line, "data: "); found {
					seen[text] = true
				}
			}
			s.add("caller: request %s (stream %s): status %d, %d events so far, whole %v, versions %d", id, first, got.status, events, got.whole, len(seen))
			if got.status == 200 && got.whole && events >= 40 {
				break
			}
			if events == 0 {
				first = s.newID()
				id = first
			} else {
				id = s.newID()
			}
			time.Sleep(100 * time.Millisecond)
		}
		mutex.Lock()
		defer mutex.Unlock()
		streams++
		if events >= 40 {
			whole++
		}
		if len(seen) > 1 {
			joined++
			s.add("stream %s holds events of two versions", first)
		}
	}
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	if trouble {
		callers.Go(func() {
			time.Sleep(5 * time.Second)
			for _, each := range all[:count/2] {
				// the next version starts under the ID, ends once more a second later, and stays
				for range 2 {
					each.mutex.Lock()
					incarnation := each.incarnation
					each.mutex.Unlock()
					each.crash(incarnation, 100*time.Millisecond, true, "v2")
					time.Sleep(1100 * time.Millisecond)
				}
			}
		})
	}
	for time.Now().Before(end) {
		callers.Go(call)
		time.Sleep(11 * time.Millisecond)
	}
	callers.Wait()
	return joined > 2, fmt.Sprintf("%d streams, %d whole; %d hold events of two software versions (2 are allowed)", streams, whole, joined)
}
