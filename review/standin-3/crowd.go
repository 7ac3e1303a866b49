//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const (
	// crowdSize is the number of callers that stop half-way, from crowdSources addresses.
	crowdSize    = 1200
	crowdSources = 6
	// crowdTime is how long they stay.
	crowdTime = 25 * time.Second
	// ordinaryCallers try at the same time.
	ordinaryCallers = 10
)

// playCrowd has a crowd of callers send the first half of a small body and wait, while
// ordinary callers send requests.
func playCrowd(s *system, trouble bool) (bool, error) {
	for range 2 {
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
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var open atomic.Int64
	if trouble {
		for at := range crowdSize {
			crowd.Add(1)
			go func() {
				defer crowd.Done()
				s.stopHalfWay(entry, fmt.Sprintf("127.0.41.%d", 1+at%crowdSources), &open, stop)
			}()
			time.Sleep(2 * time.Millisecond)
		}
	}
	broken := s.tryWhileCrowded(entry, &open)
	close(stop)
	crowd.Wait()
	time.Sleep(contactTime)
	now, peak := entry.memory()
	s.add("after the crowd: an ordinary caller: %v; running %v, memory %d MB, at most %d MB", s.send(entry, plain("/status/2")), entry.running(), now>>20, peak>>20)
	return broken, nil
}

// stopHalfWay sends half of a body of 2,000 bytes, again and again, and waits for the end of
// the connection each time.
func (s *system) stopHalfWay(n *node, from string, open *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		s.half(n, from, open, stop)
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *system) half(n *node, from string, open *atomic.Int64, stop chan struct{}) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: time.Second}
	conn, err := dialer.Dial("tcp", s.address(n.ip, 0))
	if err != nil {
		return
	}
	ended := make(chan struct{})
	defer func() {
		_ = conn.Close()
		<-ended
	}()
	head := fmt.Sprintf("POST /chat/half HTTP/1.1\r\nHost: %s\r\nBurdocklink-Request-Id: %016x\r\nBurdocklink-Model: m0\r\n"+
		"Burdocklink-Token-Count: 120,12\r\nBurdocklink-Request-Timeout-Ms: 15000\r\nContent-Length: 2000\r\n\r\n", host, requestNumber.Add(1))
	_, _ = conn.Write(append([]byte(head), make([]byte, 1000)...))
	open.Add(1)
	defer open.Add(-1)
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-ended:
	case <-stop:
	}
}

// tryWhileCrowded has ordinary callers try, each over new connections, and reports whether the
// entry said that it is ready and yet answered none of them for contactMs.
func (s *system) tryWhileCrowded(n *node, open *atomic.Int64) bool {
	var group sync.WaitGroup
	var answered, tried, ready, asked atomic.Int64
	var mutex sync.Mutex
	last, longest := time.Now(), time.Duration(0)
	until := time.Now().Add(crowdTime)
	for range ordinaryCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(until) {
				tried.Add(1)
				got := s.send(n, plain("/status/ordinary"))
				mutex.Lock()
				if got.status != 0 {
					answered.Add(1)
					last = time.Now()
				}
				longest = max(longest, time.Since(last))
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		asked.Add(1)
		if response, err := client.Get("http://" + s.address(n.ip, 1) + "/api/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready.Add(1)
			}
		}
		s.add("%d callers of the crowd hold a connection; ordinary callers: %d of %d tries answered", open.Load(), answered.Load(), tried.Load())
		time.Sleep(time.Second)
	}
	group.Wait()
	s.add("%d ordinary callers: %d of %d tries answered; none for %.1f s at the longest; ready %d of %d times", ordinaryCallers, answered.Load(), tried.Load(), longest.Seconds(), ready.Load(), asked.Load())
	return longest > contactTime && ready.Load() == asked.Load()
}
