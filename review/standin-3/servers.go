//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server stands in for a server of a service: an engine if it has models, else a plain one.
type server struct {
	*system
	id, service, address string
	born                 int64
	slots                int
	work                 time.Duration
	events               int

	mutex sync.Mutex
	// models maps what an engine holds to its adapters.
	models   map[string][]string
	sequence int
	fence    uint64
	busy     bool
	// cached are models that were unloaded, of which copies are left. running counts the runs
	// of each model, and unloading is the one that waits for the end of its runs.
	cached    map[string]bool
	running   map[string]int
	unloading string
	// capacityMb is the memory for weights; weights are those of the models.
	capacityMb float64
	weights    map[string]float64
	// loadTime is that of a model from the weight store, warmTime that of one with a copy.
	loadTime, warmTime time.Duration
	// holdsOrders is true while orders get no answer and are not carried out yet.
	holdsOrders bool
	// overloads are the orders to load more than there is room for, after which it has crashed.
	overloads int
	crashed   bool
	// one in spoilEvery answers is spoiled, zero for none; spoilVersion is the version in it.
	spoilEvery, spoiled, brokenOff int
	spoilVersion                   string
	ran, refused                   int
	// cacheTokens is the memory of an engine for prompts and answers; zero for no bound.
	cacheTokens int
}

// addServer starts a server. Models is nil for a plain one.
func (s *system) addServer(service string, models ...string) (*server, error) {
	number := len(s.servers) + 1
	each := &server{
		system: s, id: fmt.Sprintf("i-%04d", number), service: service,
		address: s.address(serverNet+"1", 0), born: time.Now().UnixMilli(), slots: 16, work: 20 * time.Millisecond, events: 4,
	}
	each.address = s.address(serverNet+strconv.Itoa(number), 0)
	if len(models) > 0 {
		each.models = map[string][]string{}
		for _, model := range models {
			each.models[model] = []string{}
		}
		each.cached, each.running = map[string]bool{}, map[string]int{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", each.answerReport)
	mux.HandleFunc("POST /api/order", each.answerOrder)
	mux.HandleFunc("GET /healthz", each.answerHealth)
	mux.HandleFunc("/", each.answer)
	if err := s.serve(each.address, each.unlessCrashed(mux)); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.servers = append(s.servers, each)
	s.mutex.Unlock()
	return each, nil
}

// unlessCrashed closes each connection once the server has crashed.
func (v *server) unlessCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.mutex.Lock()
		crashed := v.crashed
		v.mutex.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (v *server) held() []map[string]any {
	held := []map[string]any{}
	for name, adapters := range v.models {
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return held
}

// copies lists the weights that the engine holds or has held. The mutex must be held.
func (v *server) copies() []string {
	names := []string{}
	for name := range v.models {
		names = append(names, name)
	}
	for name := range v.cached {
		if _, holds := v.models[name]; !holds {
			names = append(names, name)
		}
	}
	return names
}

// item is the server's line in the platform's list.
func (v *server) item() map[string]any {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return map[string]any{
		"id": v.id, "service": v.service, "address": v.address, "zone": "zone-a", "version": "v1", "slots": v.slots,
		"state": "ready", "coldRemainingMs": 0, "stage": "colocated", "models": v.held(), "born": v.born,
	}
}

func (v *server) answerHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Burdocklink-Instance-Id", v.id)
}

// misdirected refuses what is meant for another server.
func (v *server) misdirected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Burdocklink-Expect-Instance")
	if expected == "" || expected == v.id {
		return false
	}
	if id := r.Header.Get("Burdocklink-Request-Id"); id != "" {
		w.Header().Set("Burdocklink-Request-Id", id)
	}
	w.Header().Set("Burdocklink-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (v *server) answerReport(w http.ResponseWriter, r *http.Request) {
	if v.misdirected(w, r) {
		return
	}
	v.mutex.Lock()
	report := map[string]any{
		"stage": "colocated", "models": v.held(), "busy": v.busy, "sequence": v.sequence, "queued": 0, "running": 0,
		"kvUsed": 0, "kvTotal": 156371, "handles": 0, "born": v.born, "pending": []string{},
		"cachedModels": map[string]any{"inMemory": v.copies(), "onDisk": v.copies()}, "state": "ready",
	}
	v.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// order is the body of an order.
type order struct {
	Operation, Model, Adapter, Holder string
	FencingToken                      uint64
	Expect                            *int
}

func (v *server) answerOrder(w http.ResponseWriter, r *http.Request) {
	if v.misdirected(w, r) {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mutex.Lock()
	held := v.holdsOrders
	v.mutex.Unlock()
	if held {
		// the order is left without an answer
		v.add("server %s leaves an order unanswered: %s %s %s", v.id, o.Operation, o.Model, o.Adapter)
		<-r.Context().Done()
		return
	}
	status := v.carryOut(o)
	v.add("server %s answers %d to the order of %s: %s %s %s", v.id, status, o.Holder, o.Operation, o.Model, o.Adapter)
	w.WriteHeader(status)
}

// carryOut begins an order and returns the status of its answer.
func (v *server) carryOut(o order) int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	adapters, holds := v.models[o.Model]
	switch {
	case o.FencingToken < v.fence:
		return http.StatusPreconditionFailed
	case v.busy, o.Expect != nil && *o.Expect != v.sequence:
		return http.StatusConflict
	case o.Adapter != "" && !holds:
		return http.StatusBadRequest
	}
	v.fence = o.FencingToken
	switch {
	case o.Adapter != "" && o.Operation == "load" && contains(adapters, o.Adapter):
		return http.StatusOK
	case o.Adapter != "" && o.Operation == "load":
		v.models[o.Model] = append(adapters, o.Adapter)
	case o.Adapter != "":
		kept := []string{}
		for _, adapter := range adapters {
			if adapter != o.Adapter {
				kept = append(kept, adapter)
			}
		}
		v.models[o.Model] = kept
	case o.Operation == "load" && holds:
		return http.StatusOK
	case o.Operation == "load":
		v.load(o.Model)
	case !holds:
		return http.StatusOK
	default:
		v.busy, v.unloading = true, o.Model
		go v.unload(o.Model)
	}
	v.sequence++
	return http.StatusAccepted
}

// load begins to load a model. The mutex must be held.
func (v *server) load(model string) {
	total := v.weights[model]
	for held := range v.models {
		total += v.weights[held]
	}
	if v.capacityMb > 0 && total > v.capacityMb {
		v.overloads++
		v.crashed = true
		v.add("server %s is ordered to load %s: %.0f MB of weights where %.0f MB fit; it crashes", v.id, model, total, v.capacityMb)
	}
	v.busy = true
	takes := v.loadTime
	if v.cached[model] {
		takes = v.warmTime
	}
	time.AfterFunc(takes, func() {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		v.busy = false
		v.models[model] = []string{}
	})
}

// unload waits for the runs of a model and drops it.
func (v *server) unload(model string) {
	for {
		v.mutex.Lock()
		if v.running[model] == 0 {
			delete(v.models, model)
			v.cached[model] = true
			v.busy, v.unloading = false, ""
			v.mutex.Unlock()
			return
		}
		v.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func contains(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}

// begin counts a run of a model. It returns the status of a refusal, or zero.
func (v *server) begin(name string) int {
	model, adapter, _ := strings.Cut(name, "/")
	v.mutex.Lock()
	defer v.mutex.Unlock()
	adapters, holds := v.models[model]
	switch {
	case v.unloading != "" && v.unloading == model:
		return http.StatusServiceUnavailable
	case !holds, adapter != "" && !contains(adapters, adapter):
		return http.StatusMisdirectedRequest
	}
	v.running[model]++
	return 0
}

func (v *server) end(name string) {
	model, _, _ := strings.Cut(name, "/")
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.running[model]--
}

// answer runs a request.
func (v *server) answer(w http.ResponseWriter, r *http.Request) {
	if v.misdirected(w, r) {
		return
	}
	id := r.Header.Get("Burdocklink-Request-Id")
	if id == "" {
		w.Header().Set("Burdocklink-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Burdocklink-Request-Id", id)
	if prompt, _, _ := strings.Cut(r.Header.Get("Burdocklink-Token-Count"), ","); v.cacheTokens > 0 {
		if tokens, _ := strconv.Atoi(prompt); tokens > v.cacheTokens {
			// as if it were full
			v.mutex.Lock()
			v.refused++
			v.mutex.Unlock()
			v.add("server %s refuses a request of %d tokens", v.id, tokens)
			w.Header().Set("Burdocklink-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if v.models != nil {
		name := r.Header.Get("Burdocklink-Model")
		if status := v.begin(name); status != 0 {
			w.Header().Set("Burdocklink-Not-Executed", "1")
			w.WriteHeader(status)
			return
		}
		defer v.end(name)
	}
	v.mutex.Lock()
	v.ran++
	spoils := v.spoilEvery > 0 && v.ran%v.spoilEvery == 0
	if spoils {
		v.spoiled++
	}
	breakOff := v.spoiled%2 == 0
	if spoils && breakOff {
		v.brokenOff++
	}
	v.mutex.Unlock()
	if spoils && v.models == nil {
		text := id + " by " + v.id
		v.spoil(w, id, "text/plain", []string{text[:len(text)/2], text[len(text)/2:]}, breakOff)
		return
	}
	if spoils {
		var events []string
		for i := range v.events {
			events = append(events, event(i, id))
		}
		v.spoil(w, id, "text/event-stream", events, breakOff)
		return
	}
	w.Header().Set("Server-Id", v.id)
	w.Header().Set("Burdocklink-Server-Signature", "signed."+v.id+"."+id)
	w.Header().Set("Burdocklink-Weight-Versions", "1")
	if v.models == nil {
		time.Sleep(v.work)
		fmt.Fprintf(w, "%s by %s", id, v.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range v.events {
		time.Sleep(v.work)
		fmt.Fprint(w, event(i, id))
		_ = http.NewResponseController(w).Flush()
	}
}

// event is one event of a stream.
func event(number int, id string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number+1, id)
}

// tellRuns records what the servers ran.
func (s *system) tellRuns() {
	for _, v := range s.servers {
		v.mutex.Lock()
		s.add("server %s of %s has run %d requests, refused %d as too large, spoiled %d answers, %d of them broken off", v.id, v.service, v.ran, v.refused, v.spoiled, v.brokenOff)
		v.mutex.Unlock()
	}
}
