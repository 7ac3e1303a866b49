//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// halfBodies lets a crowd of clients begin requests and stop half-way through the body, and
// counts how ordinary clients are served meanwhile. Without the trouble the crowd sends its
// bodies as a whole.
func halfBodies(r *record) (int, error) {
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
	time.Sleep(4 * time.Second)
	m := s.entries()[0]
	const crowd, sources, clients, span = 1200, 12, 10, 20 * time.Second
	until := time.Now().Add(span)
	var group sync.WaitGroup
	var opened, unanswered atomic.Int64
	for number := range crowd {
		group.Add(1)
		go func() {
			defer group.Done()
			source := &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", s.network, 240+number%sources))}
			for time.Now().Before(until) {
				opened.Add(1)
				if !beginBody(source, m, until) {
					unanswered.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	r.printf("crowd: %d clients at %d addresses, %d connections opened so far", crowd, sources, opened.Load())
	var mutex sync.Mutex
	outcomes, served, longest, last := map[string]int{}, 0, time.Duration(0), time.Now()
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(until.Add(-time.Second)) {
				got := ask(m.front(), "GET", "/lookup/1", host, nil, "", 1500*time.Millisecond)
				mutex.Lock()
				outcome := fmt.Sprint(got.status)
				if got.err != nil {
					outcome = "closed without an answer"
				}
				outcomes[outcome]++
				if got.status != 0 {
					served++
					longest, last = max(longest, time.Since(last)), time.Now()
				}
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for time.Now().Before(until) {
		time.Sleep(3 * time.Second)
		now, _ := m.memory()
		mutex.Lock()
		r.printf("%s ready %t, uses %.0f MB; ordinary requests on new channels so far: %v", m.name, s.ready(m), now, outcomes)
		mutex.Unlock()
	}
	group.Wait()
	longest = max(longest, until.Add(-time.Second).Sub(last))
	r.printf("%d clients tried all the while: %v; longest time without any channel taken: %.1f s", clients, outcomes, longest.Seconds())
	if longest > 3*time.Second {
		return broken, nil
	}
	return held, nil
}

// beginBody sends a request with a part of its body and waits for the answer. It reports
// whether there was one.
func beginBody(source *net.TCPAddr, m *machine, until time.Time) bool {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: source}
	conn, err := dialer.Dial("tcp", m.front())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	body := "0123456789"
	if !troubled() {
		body = "0123456789012345678901234567890123456789"
	}
	if _, err := fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nBurdocklink-Request-Id: %s\r\nBurdocklink-Request-Timeout-Ms: 15000\r\nBurdocklink-Model: daka510000\r\n"+
		"Burdocklink-Token-Count: 600,15\r\nBurdocklink-Prompt-Prefix: a1:300,b2:300\r\nContent-Length: 40\r\n\r\n%s", host, newID(), body); err != nil {
		return false
	}
	_, err = io.ReadFull(conn, make([]byte, 12))
	return err == nil
}
