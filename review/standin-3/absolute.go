//go:build review3

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["absolute"] = playAbsolute }

const (
	// absoluteCallers are the callers whose request lines name the host, absolutePause is the
	// time between two requests of one, and absoluteTime how long they go on.
	absoluteCallers = 4
	absolutePause   = 40 * time.Millisecond
	absoluteTime    = 30 * time.Second
)

// playAbsolute has some callers write the host into their request lines, as HTTP allows, while
// ordinary callers look up a status and use a model.
func playAbsolute(s *system, trouble bool) (bool, error) {
	for range 3 {
		if _, err := s.addServer("llm", "m0"); err != nil {
			return false, err
		}
		if _, err := s.addServer("app"); err != nil {
			return false, err
		}
	}
	services := []map[string]any{engineService("llm", model("m0", 72700, 8.6)), plainService("app")}
	routes := []map[string]any{streamingRoute("chat", "/chat/", "llm"), plainRoute("status", "/status/", "idempotent", "app")}
	if err := s.start(1, configuration(5, routes, services)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	entry := s.entries[0]
	if got := s.send(entry, plain("/status/1")); got.status != http.StatusOK {
		return false, fmt.Errorf("no answer in calm: %v", got)
	}
	var group sync.WaitGroup
	until := time.Now().Add(absoluteTime)
	calls, own := newCalls(), newCalls()
	for range absoluteCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(until) {
				own.record("/status/own", answer{status: s.sendAbsolute(entry, trouble)})
				time.Sleep(absolutePause)
			}
		}()
	}
	for _, q := range []request{plain("/status/2"), plain("/status/3"), ordinary("/chat/1", "m0"), ordinary("/chat/2", "m0")} {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(until) {
				calls.record(q.path[:6], s.send(entry, q))
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	s.add("%d callers, request lines %s: %v", absoluteCallers, map[bool]string{true: "with the host", false: "with the path alone"}[trouble], own)
	s.add("ordinary callers: %v", calls)
	status, all := calls.share("/statu"), calls.share("")
	s.add("served: %.3f of the look-ups, %.3f of all requests; a quarter of that is the least", status, all)
	time.Sleep(time.Second)
	s.add("afterwards: %v", s.send(entry, plain("/status/4")))
	return status < all/4, nil
}

// share returns the part of the requests of a kind, or of all, that were served.
func (c *calls) share(kind string) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	served, total := 0, 0
	for name, statuses := range c.statuses {
		if kind != "" && name != kind {
			continue
		}
		for status, count := range statuses {
			total += count
			if status == http.StatusOK {
				served += count
			}
		}
	}
	return float64(served) / float64(max(1, total))
}

// sendAbsolute sends one look-up and returns the status of its answer.
func (s *system) sendAbsolute(n *node, withHost bool) int {
	conn, err := net.DialTimeout("tcp", s.address(n.ip, 0), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	target := "/status/own"
	if withHost {
		target = "http://" + host + target
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nBurdocklink-Request-Id: %016x\r\nBurdocklink-Request-Timeout-Ms: 1500\r\nConnection: close\r\n\r\n",
		target, host, requestNumber.Add(1))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
