//go:build review2

package main

import (
	"time"
)

// endlessReports lets a part of the model servers answer questions for their report with
// bytes that are no answer and come without end, and watches the memory of the control
// machines.
func endlessReports(r *record) (int, error) {
	const engines, faulty = 100, 50
	s, err := newDeployment(r, 1, 3, engines)
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
	time.Sleep(3 * time.Second)
	for _, m := range s.controls() {
		now, peak := m.memory()
		r.printf("%s uses %.0f MB, at its peak %.0f MB, of %d MB", m.name, now, peak, m.memoryMB)
	}
	if troubled() {
		for _, each := range s.servers[:faulty] {
			each.mutex.Lock()
			each.endless = true
			each.mutex.Unlock()
		}
		r.printf("%d of %d model servers answer questions for their report with bytes without end from now on", faulty, engines)
	}
	over := false
	for range 10 {
		time.Sleep(2 * time.Second)
		for _, m := range s.controls() {
			now, peak := m.memory()
			r.printf("%s runs %t, uses %.0f MB, at its peak %.0f MB, of %d MB", m.name, m.running(), now, peak, m.memoryMB)
			over = over || peak > float64(m.memoryMB) || !m.running()
		}
	}
	if over {
		return broken, nil
	}
	return held, nil
}
