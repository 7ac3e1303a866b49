//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platformList is a stand-in of the platform's list of servers.
type platformList struct {
	address string
	mutex   sync.Mutex
	items   func() []map[string]any
}

func startList(address string, items func() []map[string]any) (*platformList, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &platformList{address: address, items: items}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"instances": l.items(), "nextToken": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return l, nil
}

func writeJSON(w http.ResponseWriter, status int, content any) {
	text, _ := json.Marshal(content)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// run is one request that a server began to work on.
type run struct {
	id, path, server string
	at               time.Time
}

// server is a stand-in of a server: a model server if it has models, else a plain one.
type server struct {
	*record
	id, service, address, version string
	zone                          string
	slots                         int
	born                          int64
	// eventGap is the time between two events, events their number if the request does not
	// bound it.
	eventGap time.Duration
	events   int
	// workTime is how long a plain request takes.
	workTime time.Duration

	mutex    sync.Mutex
	draining bool
	// http serves; crashPart is the ID of a prompt part that ends this server, downTime how
	// long it is down then, and crashes when it ended. disk are the models on its disk.
	http      *http.Server
	crashPart string
	downTime  time.Duration
	crashes   []time.Time
	disk      map[string]bool
	models    map[string]bool
	sequence  int
	fence     int
	busy      bool
	running   int
	runs      []run
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.born = time.Now().UnixMilli()
	s.zone = "bp-a"
	s.mutex.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Burdocklink-Instance-Id", s.id)
		if s.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("/", s.serve)
	serving := &http.Server{Handler: s.announced(mux), MaxHeaderBytes: 256 << 10, ErrorLog: log.New(io.Discard, "", 0)}
	s.mutex.Lock()
	s.http = serving
	s.mutex.Unlock()
	go func() { _ = serving.Serve(listener) }()
	return nil
}

func (s *server) leaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

// announced says in all answers of a server that leaves that it does.
func (s *server) announced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving() {
			w.Header().Set("Server-Leaving", "1")
		}
		next.ServeHTTP(w, r)
	})
}

// crash ends the server: it closes all its connections, refuses new ones and starts again
// later, empty but for its disk.
func (s *server) crash() {
	s.mutex.Lock()
	serving := s.http
	s.http = nil
	if serving != nil {
		s.crashes = append(s.crashes, time.Now())
	}
	s.mutex.Unlock()
	if serving == nil {
		return
	}
	_ = serving.Close()
	time.AfterFunc(s.downTime, func() {
		s.mutex.Lock()
		if s.disk == nil {
			s.disk = map[string]bool{}
		}
		for name := range s.models {
			s.disk[name] = true
		}
		s.models, s.sequence, s.fence, s.busy = map[string]bool{}, 0, 0, false
		s.mutex.Unlock()
		if err := s.start(); err != nil {
			s.printf("%s did not start again: %v", s.id, err)
		}
	})
}

// held returns the models as they stand in reports and in the list.
func (s *server) held() []map[string]any {
	held := []map[string]any{}
	for name := range s.models {
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return held
}

// item is the server's entry in the platform's list.
func (s *server) item() map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item := map[string]any{
		"id": s.id, "service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": "ready", "coldRemainingMs": 0, "born": s.born,
	}
	if s.draining {
		item["state"] = "draining"
	}
	if s.models != nil {
		item["stage"], item["models"] = "colocated", s.held()
	}
	return item
}

func (s *server) expected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Burdocklink-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Burdocklink-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (s *server) report(w http.ResponseWriter, r *http.Request) {
	if !s.expected(w, r) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": s.held(), "busy": s.busy, "sequence": s.sequence, "queued": 0, "running": s.running,
		"kvUsed": 0, "kvTotal": 156371, "handles": 0, "born": s.born, "pending": []string{},
		"cachedModels": map[string]any{"inMemory": []string{}, "onDisk": slices.Collect(maps.Keys(s.disk))}, "state": "ready",
	})
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	if !s.expected(w, r) {
		return
	}
	var order struct {
		Operation, Model, Adapter, Holder string
		FencingToken                      int
		Expect                            *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case order.FencingToken < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case s.busy || order.Expect != nil && *order.Expect != s.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		s.fence = order.FencingToken
		s.sequence++
		s.busy = true
		born, loadTime := s.born, 6400*time.Millisecond
		if s.disk[order.Model] {
			loadTime = 1300 * time.Millisecond
		}
		time.AfterFunc(loadTime, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.born != born {
				return
			}
			s.busy = false
			if order.Operation == "load" {
				s.models[order.Model] = true
			} else {
				delete(s.models, order.Model)
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// serve runs a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Burdocklink-Request-Id")
	w.Header().Set("Burdocklink-Request-Id", id)
	if !s.expected(w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mutex.Lock()
	model, _, _ := strings.Cut(r.Header.Get("Burdocklink-Model"), "/")
	if s.models != nil && !s.models[model] {
		s.mutex.Unlock()
		w.Header().Set("Burdocklink-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.running++
	s.runs = append(s.runs, run{id: id, path: r.URL.Path, server: s.id, at: time.Now()})
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.running--
		s.mutex.Unlock()
	}()
	w.Header().Set("Burdocklink-Server-Signature", "3e1b.07."+s.id)
	if s.models == nil {
		time.Sleep(s.workTime)
		_, _ = io.WriteString(w, "done "+id+" at "+s.id)
		return
	}
	s.stream(w, r, id)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Burdocklink-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	crashing := s.crashPart != "" && strings.Contains(r.Header.Get("Burdocklink-Prompt-Prefix"), s.crashPart+":")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= s.events; event++ {
		if event > first {
			time.Sleep(s.eventGap)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", event, id, s.id, s.version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if crashing {
			time.Sleep(20 * time.Millisecond)
			s.crash()
			return
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

// ran returns the runs of a request.
func (s *system) ran(id string) []run {
	var found []run
	for _, each := range s.servers {
		each.mutex.Lock()
		for _, one := range each.runs {
			if one.id == id {
				found = append(found, one)
			}
		}
		each.mutex.Unlock()
	}
	return found
}
