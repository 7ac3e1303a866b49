//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// servers are the servers of the deployment and the infrastructure's list of them.
type servers struct {
	site  *site
	mutex sync.Mutex
	all   []*server
	// history are the lists of the last seconds.
	history []listed
}

type listed struct {
	at    time.Time
	lines []map[string]any
}

func newServers(s *site) *servers {
	v := &servers{site: s}
	go func() {
		for ; ; time.Sleep(50 * time.Millisecond) {
			v.mutex.Lock()
			v.history = append(v.history, listed{time.Now(), v.describe()})
			if len(v.history) > 100 {
				v.history = v.history[1:]
			}
			v.mutex.Unlock()
		}
	}()
	return v
}

func (v *servers) describe() []map[string]any {
	lines := []map[string]any{}
	for _, each := range v.all {
		if line := each.line(); line != nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// serveList answers with the list as it was some time ago.
func (v *servers) serveList(w http.ResponseWriter, _ *http.Request) {
	v.mutex.Lock()
	lines := []map[string]any{}
	for _, each := range v.history {
		if time.Since(each.at) >= listLag {
			lines = each.lines
		}
	}
	v.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": lines, "nextToken": nil})
}

// server is one server. An engine has models.
type server struct {
	site    *site
	service string
	address string
	zone    string
	engine  bool
	slots   int
	// answer serves a request that the server runs.
	answer func(run *run)

	mutex    sync.Mutex
	id       string
	software string
	born     int64
	up       bool
	// listedUntil is when a server that crashed leaves the list.
	listedUntil time.Time
	state       string
	models      []string
	disk        []string
	busy        bool
	sequence    int
	fence       int
	running     int
	web         *http.Server
	reports     []report
	incarnation int
}

type report struct {
	at   time.Time
	text []byte
}

// run is a request that a server runs.
type run struct {
	*server
	w           http.ResponseWriter
	r           *http.Request
	body        []byte
	request     string
	incarnation int
}

func (v *servers) add(service, zone string, engine bool, software string, models []string, answer func(*run)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	each := &server{site: v.site, service: service, address: listener.Addr().String(), zone: zone, engine: engine, slots: 64, answer: answer,
		software: software, models: slices.Clone(models), disk: slices.Clone(models), state: "ready"}
	each.begin(listener, fmt.Sprintf("i-%08x", v.site.number.Add(1)))
	v.mutex.Lock()
	v.all = append(v.all, each)
	v.mutex.Unlock()
	return each
}

// begin starts an incarnation.
func (s *server) begin(listener net.Listener, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.id, s.born, s.up, s.incarnation = id, time.Now().UnixMilli(), true, s.incarnation+1
	s.sequence, s.fence, s.running, s.busy, s.reports = 0, 0, 0, false, nil
	s.web = &http.Server{Handler: s}
	web := s.web
	go func() { _ = web.Serve(listener) }()
	s.site.add("server %s of %s starts at %s, version %s", s.id, s.service, s.address, s.software)
	if s.engine {
		go s.sample(s.incarnation)
	}
}

// sample keeps reports, which are some hundred milliseconds old when they are given.
func (s *server) sample(incarnation int) {
	for ; ; time.Sleep(50 * time.Millisecond) {
		s.mutex.Lock()
		if s.incarnation != incarnation || !s.up {
			s.mutex.Unlock()
			return
		}
		text, _ := json.Marshal(s.describe())
		s.reports = append(s.reports, report{time.Now(), text})
		if len(s.reports) > 20 {
			s.reports = s.reports[1:]
		}
		s.mutex.Unlock()
	}
}

// crash ends an incarnation as a kill of its process does: all its channels end. The server is
// back, and holds nothing, after some seconds.
func (s *server) crash(incarnation int, down time.Duration, sameID bool, software string) bool {
	s.mutex.Lock()
	if s.incarnation != incarnation || !s.up {
		s.mutex.Unlock()
		return false
	}
	s.up, s.listedUntil, s.models = false, time.Now().Add(max(down, 2*time.Second)), nil
	web, id := s.web, s.id
	s.site.add("server %s crashes", id)
	s.mutex.Unlock()
	_ = web.Close()
	time.AfterFunc(down, func() {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			reason := err.Error()
			s.site.fail.Store(&reason)
			return
		}
		if !sameID {
			id = fmt.Sprintf("i-%08x", s.site.number.Add(1))
		}
		s.mutex.Lock()
		s.software = software
		s.mutex.Unlock()
		s.begin(listener, id)
	})
	return true
}

// line is the server's line in the list; nil if it isn't listed.
func (s *server) line() map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.up && time.Now().After(s.listedUntil) {
		return nil
	}
	line := map[string]any{"id": s.id, "service": s.service, "address": s.address, "zone": s.zone, "version": s.software,
		"slots": s.slots, "state": s.state, "coldRemainingMs": 0, "born": s.born}
	if s.engine {
		line["stage"], line["models"] = "colocated", s.held()
	}
	return line
}

func (s *server) held() []map[string]any {
	models := []map[string]any{}
	for _, name := range s.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return models
}

func (s *server) describe() map[string]any {
	return map[string]any{"stage": "colocated", "models": s.held(), "busy": s.busy, "sequence": s.sequence, "queued": 0,
		"running": s.running, "kvUsed": 2000 * s.running, "kvTotal": 156371, "handles": 0, "born": s.born, "state": s.state,
		"cachedModels": map[string]any{"inMemory": []string{}, "onDisk": slices.Clone(s.disk)}}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	id, incarnation := s.id, s.incarnation
	s.mutex.Unlock()
	if expected := r.Header.Get("Burdocklink-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Burdocklink-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case s.engine && r.URL.Path == "/api/report":
		s.serveReport(w)
	case s.engine && r.URL.Path == "/api/order":
		s.serveOrder(w, body)
	case r.URL.Path == "/healthz":
		w.Header().Set("Burdocklink-Instance-Id", id)
	default:
		s.serveRequest(&run{server: s, w: w, r: r, body: body, request: r.Header.Get("Burdocklink-Request-Id"), incarnation: incarnation})
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mutex.Lock()
	text, _ := json.Marshal(s.describe())
	for _, each := range slices.Backward(s.reports) {
		if time.Since(each.at) >= reportLag {
			text = each.text
			break
		}
	}
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

const (
	modelsPerEngine = 2
	diskTime        = 1700 * time.Millisecond
	storeTime       = 8600 * time.Millisecond
)

func (s *server) serveOrder(w http.ResponseWriter, body []byte) {
	var order struct {
		Operation, Model, Adapter, Holder string
		FencingToken                      int
		Expect                            *int
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := func(status int) {
		s.site.add("server %s answers %d to order %s", s.id, status, bytes.TrimSpace(body))
		w.WriteHeader(status)
	}
	switch {
	case json.Unmarshal(body, &order) != nil || order.Holder == "" || order.FencingToken == 0 || order.Model == "":
		answer(http.StatusBadRequest)
		return
	case order.FencingToken < s.fence:
		answer(http.StatusPreconditionFailed)
		return
	case s.busy || (order.Expect != nil && *order.Expect != s.sequence):
		answer(http.StatusConflict)
		return
	}
	s.fence = order.FencingToken
	holds := slices.Contains(s.models, order.Model)
	if order.Adapter != "" || (order.Operation == "load") == holds {
		answer(http.StatusOK)
		return
	}
	s.sequence++
	incarnation := s.incarnation
	if order.Operation == "unload" {
		s.models = slices.DeleteFunc(s.models, func(name string) bool { return name == order.Model })
		answer(http.StatusAccepted)
		return
	}
	if len(s.models) >= modelsPerEngine {
		reason := "a server was ordered to load more than it holds"
		s.site.fail.Store(&reason)
	}
	s.busy = true
	wait := storeTime
	if slices.Contains(s.disk, order.Model) {
		wait = diskTime
	}
	time.AfterFunc(wait, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.incarnation == incarnation && s.up {
			s.busy = false
			s.models = append(s.models, order.Model)
			if !slices.Contains(s.disk, order.Model) {
				s.disk = append(s.disk, order.Model)
			}
		}
	})
	answer(http.StatusAccepted)
}

func (s *server) serveRequest(run *run) {
	s.mutex.Lock()
	model, _, _ := strings.Cut(run.r.Header.Get("Burdocklink-Model"), "/")
	refusal := 0
	switch {
	case run.request == "":
		refusal = http.StatusBadRequest
	case s.engine && !slices.Contains(s.models, model):
		refusal = http.StatusMisdirectedRequest
	case s.running >= s.slots:
		refusal = http.StatusServiceUnavailable
	default:
		s.running++
	}
	id := s.id
	s.mutex.Unlock()
	run.w.Header().Set("Burdocklink-Request-Id", run.request)
	if refusal != 0 {
		s.site.add("server %s refuses %s: %d, not run", id, run.request, refusal)
		run.w.Header().Set("Burdocklink-Not-Executed", "1")
		run.w.WriteHeader(refusal)
		return
	}
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.incarnation == run.incarnation {
			s.running--
		}
	}()
	run.w.Header().Set("Burdocklink-Server-Signature", "signed-by-"+id+"-"+run.request)
	s.answer(run)
}

// stream writes events with an interval between them, after the last one that the caller has.
// It stops once the caller is gone. Each, if not nil, is called after an event.
func (r *run) stream(first, interval time.Duration, events int, text string, each func(event int)) {
	after, _ := strconv.Atoi(r.r.Header.Get("Last-Event-Id"))
	if !sleep(r, first) {
		return
	}
	r.w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(r.w)
	for event := after + 1; event <= events; event++ {
		if event > after+1 && !sleep(r, interval) {
			return
		}
		if _, err := fmt.Fprintf(r.w, "id: %d\ndata: %s\n\n", event, text); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		if each != nil {
			each(event)
		}
	}
}

func sleep(r *run, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-r.r.Context().Done():
		return false
	}
}
