//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["removed"] = playRemoved }

// playRemoved has the operator move a route from one service of engines to another and leave
// out the first, while callers wait for adapters there.
func playRemoved(s *system, trouble bool) (bool, error) {
	for _, service := range []string{"llm", "llm", "llm2", "llm2"} {
		if _, err := s.addServer(service, "m0"); err != nil {
			return false, err
		}
	}
	first, second := engineService("llm", model("m0", 72700, 8.6)), engineService("llm2", model("m0", 72700, 8.6))
	before := []map[string]any{streamingRoute("chat", "/chat/", "llm")}
	after := []map[string]any{streamingRoute("chat", "/chat/", "llm2")}
	if err := s.start(2, configuration(5, before, []map[string]any{first, second})); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if got := s.send(s.entries[0], ordinary("/chat/1", "m0")); got.status != http.StatusOK {
		return false, fmt.Errorf("no stream in calm: %v", got)
	}
	stop := make(chan struct{})
	defer close(stop)
	for caller := range 40 {
		go s.askForAdapters(caller, stop)
	}
	time.Sleep(contactTime)
	services := []map[string]any{first, second}
	if trouble {
		services = services[1:]
	}
	if err := s.put(configuration(9, after, services)); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	ended := 0
	for _, n := range s.controls {
		if n.running() {
			continue
		}
		ended++
		s.add("%s ended by itself: %v", n.name, n.state)
		for _, text := range []string{"panic: ", "burdocklink/mover."} {
			for _, line := range n.grep(text) {
				s.add("%s: %s", n.name, line)
			}
		}
	}
	s.add("an ordinary caller afterwards: %v", s.send(s.entries[0], ordinary("/chat/2", "m0")))
	return ended > 0, nil
}

// askForAdapters uses one adapter of m0 after the other, of 28 where a server has 8 places.
func (s *system) askForAdapters(caller int, stop chan struct{}) {
	for number := caller; ; number += 7 {
		select {
		case <-stop:
			return
		default:
			s.send(s.entries[caller%2], ordinary("/chat/adapter", fmt.Sprintf("m0/a%d", 1+number%28)))
		}
	}
}
