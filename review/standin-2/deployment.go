//go:build review2

package main

import (
	"fmt"
	"os"
	"time"
)

// host is that of all routes.
const host = "ficu95.example"

// deployment has two services: asszisztens with model servers and naptar without.
func newDeployment(r *record, entries, controls, engines int) (*system, error) {
	s, err := newSystem(r, entries, controls)
	if err != nil {
		return nil, err
	}
	for i := range engines {
		s.servers = append(s.servers, &server{
			record: r, id: fmt.Sprintf("i-llm%d", i+1), service: "asszisztens", address: fmt.Sprintf("%s.%d:%d", s.network, 100+i, portServer),
			version: "v1", slots: 64, models: map[string]bool{"daka510000": true, "rada7437b5": true}, events: 5, eventGap: 20 * time.Millisecond,
		})
	}
	for i := range 2 {
		s.servers = append(s.servers, &server{
			record: r, id: fmt.Sprintf("i-app%d", i+1), service: "naptar", address: fmt.Sprintf("%s.%d:%d", s.network, 220+i, portServer),
			version: "v1", slots: 6, workTime: 30 * time.Millisecond,
		})
	}
	s.list, err = startList(fmt.Sprintf("%s.9:%d", s.network, portList), func() []map[string]any {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		var items []map[string]any
		for _, each := range s.servers {
			items = append(items, each.item())
		}
		return items
	})
	if err != nil {
		return nil, err
	}
	for _, each := range s.servers {
		if err := each.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500,
		"priority": 1, "service": service, "maxAttempts": 2, "sticky": kind == "streaming", "resumable": false, "gapTargetMs": 250,
	}
}

// configuration returns a configuration with the first routes and further ones.
func configuration(version int, further ...map[string]any) map[string]any {
	models := []map[string]any{}
	for _, name := range []string{"daka510000", "rada7437b5"} {
		models = append(models, map[string]any{
			"name": name, "weightsMb": 72700.0, "loadTimeS": 6.4, "adapters": 0, "adapterMb": 66.0, "warmS": 0.6, "diskS": 1.3,
		})
	}
	routes := []map[string]any{
		route("draft", "/draft/", "streaming", "asszisztens", 15000),
		route("book", "/book/", "non_idempotent", "naptar", 1500),
		route("lookup", "/lookup/", "idempotent", "naptar", 1500),
	}
	return map[string]any{
		"version": version, "routes": append(routes, further...),
		"services": []map[string]any{
			{"name": "asszisztens", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacity": 156371, "kvTokenBytes": 327680, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 3,
				"cap": 12, "hostMb": 140000.0, "diskMb": 410000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": models,
				"weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 1.4,
			}},
			{"name": "naptar", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// draft asks a model server for a stream.
func draft(m *machine, model, parts string) tried {
	return ask(m.front(), "POST", "/draft/1", host, []string{
		"Burdocklink-Model: " + model, "Burdocklink-Token-Count: 600,15", "Burdocklink-Prompt-Prefix: " + parts,
	}, "{}", 5*time.Second)
}

// awaitServing waits until an entry serves both services.
func (s *system) awaitServing(within time.Duration) error {
	for until := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		served := 0
		for _, m := range s.entries() {
			if draft(m, "daka510000", "a1:300,b2:300").status == 200 &&
				ask(m.front(), "GET", "/lookup/1", host, nil, "", 1500*time.Millisecond).status == 200 {
				served++
			}
		}
		if served == len(s.entries()) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("only %d entries serve", served)
		}
	}
}

func troubled() bool { return os.Getenv("TROUBLE") != "0" }
