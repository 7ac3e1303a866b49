//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["retired"] = playRetired }

// retiredTime is how long callers ask for the new models: longer than a load from the store.
const retiredTime = 20 * time.Second

// playRetired has the operator replace the models of a service by others, while the engines
// still hold the old ones.
func playRetired(s *system, trouble bool) (bool, error) {
	const small, large = 34300.0, 72700.0
	old := []string{"old1", "old2", "old3", "old4"}
	var models []map[string]any
	weights := map[string]float64{"new1": large, "new2": large}
	for _, name := range old {
		models = append(models, model(name, small, 4))
		weights[name] = small
	}
	var engines []*server
	for range 3 {
		engine, err := s.addServer("llm", old...)
		if err != nil {
			return false, err
		}
		engine.weights, engine.capacityMb = weights, 200000
		engine.loadTime, engine.warmTime = 8600*time.Millisecond, 600*time.Millisecond
		engines = append(engines, engine)
	}
	routes := []map[string]any{streamingRoute("chat", "/chat/", "llm")}
	if err := s.start(2, configuration(5, routes, []map[string]any{engineService("llm", models...)})); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if got := s.send(s.entries[0], ordinary("/chat/1", "old1")); got.status != http.StatusOK {
		return false, fmt.Errorf("no stream in calm: %v", got)
	}
	added := []map[string]any{model("new1", large, 8.6), model("new2", large, 8.6)}
	if !trouble {
		// the new models come beside the old ones
		added = append(added, models...)
	}
	if err := s.put(configuration(9, routes, []map[string]any{engineService("llm", added...)})); err != nil {
		return false, err
	}
	results := map[int]int{}
	for at, until := 0, time.Now().Add(retiredTime); time.Now().Before(until); at++ {
		results[s.send(s.entries[at%2], ordinary("/chat/2", fmt.Sprintf("new%d", 1+at%2))).status]++
		time.Sleep(100 * time.Millisecond)
	}
	s.tellRuns()
	overloads := 0
	for _, engine := range engines {
		engine.mutex.Lock()
		overloads += engine.overloads
		engine.mutex.Unlock()
	}
	s.add("answers to callers of the new models by status: %v; orders to load more than fits: %d", results, overloads)
	return overloads > 0, nil
}
