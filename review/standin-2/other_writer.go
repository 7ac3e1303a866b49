//go:build review2

package main

import (
	"time"
)

// otherWriter lets another writer put an entry with missing fields about one server into the
// platform's list, and then the server leaves.
func otherWriter(r *record) (int, error) {
	s, err := newDeployment(r, 2, 3, 4)
	if err != nil {
		return failed, err
	}
	defer s.stop()
	leaving := s.servers[4]
	// at the end of the list, after the entries of the platform
	if troubled() {
		s.odd = append(s.odd, map[string]any{
			"id": leaving.id, "service": leaving.service, "address": leaving.address, "zone": leaving.zone, "state": "ready",
		})
	}
	if err := s.start(configuration(7)); err != nil {
		return failed, err
	}
	if err := s.awaitServing(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	leaving.mutex.Lock()
	leaving.draining = true
	leaving.mutex.Unlock()
	shown := time.Now()
	r.printf("the list shows %s as draining from now on; drainMs is 3000", leaving.id)
	sent := 0
	for time.Since(shown) < 12*time.Second {
		for _, m := range s.entries() {
			ask(m.front(), "POST", "/book/1", host, nil, "{}", 1500*time.Millisecond)
			sent++
		}
		time.Sleep(40 * time.Millisecond)
	}
	before, late := 0, 0
	leaving.mutex.Lock()
	for _, one := range leaving.runs {
		switch {
		case one.at.After(shown.Add(3500 * time.Millisecond)):
			late++
		case one.at.After(shown):
			before++
		}
	}
	leaving.mutex.Unlock()
	r.printf("%d bookings sent since then; %s ran %d of them up to 3.5 s after that and %d later", sent, leaving.id, before, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
