//go:build review2

package main

import (
	"net/http"
	"time"
)

// unreadableName sends one request for a model that does not exist, whose name holds a byte
// that is not UTF-8, to one entry, and then changes the configuration.
func unreadableName(r *record) (int, error) {
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
	time.Sleep(4 * time.Second)
	name := "cafe"
	if troubled() {
		name = "caf\xe9"
	}
	first := s.entries()[0]
	odd := draft(first, name, "a1:300,b2:300")
	r.printf("client: one request for model %q to %s: status %d, Retry-After %q, error %v, runs %d", name, first.name, odd.status,
		odd.header.Get("Retry-After"), odd.err, len(s.ran(odd.id)))
	time.Sleep(2 * time.Second)
	return s.checkAddedRoute(first)
}

// checkAddedRoute adds a route and reports the rule as broken if an entry refuses requests on
// it with 404 later than configApplyMs after the acknowledgement.
func (s *system) checkAddedRoute(first *machine) (int, error) {
	if err := s.put(configuration(12, route("added", "/added/", "idempotent", "naptar", 1500)), 10*time.Second); err != nil {
		return failed, err
	}
	acknowledged := time.Now()
	old := map[string]int{}
	for _, after := range []time.Duration{2500 * time.Millisecond, 6 * time.Second, 12 * time.Second, 20 * time.Second} {
		time.Sleep(time.Until(acknowledged.Add(after)))
		for _, m := range s.entries() {
			counts := map[int]int{}
			for range 5 {
				counts[ask(m.front(), "GET", "/added/1", host, nil, "", 1500*time.Millisecond).status]++
			}
			old[m.name] += counts[http.StatusNotFound]
			drafts := map[int]int{}
			for range 5 {
				drafts[draft(m, "daka510000", "a1:300,c3:300").status]++
			}
			s.printf("%v after the acknowledgement: %s ready %t; answers on the added route by status %v; drafts on an old route by status %v",
				after, m.name, s.ready(m), counts, drafts)
		}
	}
	s.printf("requests on the added route refused with 404 more than configApplyMs (2 s) after the acknowledgement: %v", old)
	if old[first.name] > 0 {
		return broken, nil
	}
	return held, nil
}
