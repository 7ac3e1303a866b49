//go:build review2

package main

import (
	"time"
)

// cutEntry puts an entry whose bytes end too early before the sound ones into the platform's
// list, and counts the requests that are served.
func cutEntry(r *record) (int, error) {
	s, err := newDeployment(r, 2, 3, 4)
	if err != nil {
		return failed, err
	}
	defer s.stop()
	if troubled() {
		s.list.cut = `{"id":"i-77c0de","service":"caja","address":"127.0.0.9:8080","zone":"bp-a","vers`
		r.printf("platform: the first entry of the list reads %s", s.list.cut)
	}
	if err := s.start(configuration(7)); err != nil {
		return failed, err
	}
	counts, drafts := map[int]int{}, map[int]int{}
	started := time.Now()
	for time.Since(started) < 30*time.Second {
		for _, m := range s.entries() {
			counts[ask(m.front(), "GET", "/lookup/1", host, nil, "", 1500*time.Millisecond).status]++
			drafts[draft(m, "daka510000", "a1:300,b2:300").status]++
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.printf("in 30 s: lookups by status %v, drafts by status %v; %d servers are listed by sound entries", counts, drafts, len(s.servers))
	if counts[200]+drafts[200] == 0 {
		return broken, nil
	}
	return held, nil
}
