//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["tainted"] = tainted }

// engineText is the engine of the configuration, with the figures of cukorvirag-foglalo.
const engineText = `"engine":{"slots":64,"kvCapacity":156371,"kvTokenBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"cap":12,
"hostMb":140000.0,"diskMb":420000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.4,"models":[%s]}`

func modelsText(names []string) string {
	var texts []string
	for _, name := range names {
		texts = append(texts, fmt.Sprintf(`{"name":"%s","weightsMb":72700.0,"loadTimeS":8.6,"adapters":0,"adapterMb":66.0,"warmS":0.6,"diskS":1.7}`, name))
	}
	return strings.Join(texts, ",")
}

// taintedPart is the part of a prompt that crashes each server which begins to write an answer on it.
const taintedPart = "badc0de1"

// tainted: one part of a prompt crashes each server that begins to write an answer on it. The
// server has written the first event when it ends.
func tainted(s *site, trouble bool) (bool, string) {
	const engines, entries, length = 12, 3, 60 * time.Second
	// at is what has been written when the server ends: "event" (the first event, the case),
	// "head" (the head and a part of the first event) or "nothing"
	at := os.Getenv("AT")
	models := []string{"daka510000", "rada7437b5", "ravo486f6a", "nymi57a71f"}
	var mutex sync.Mutex
	var crashes, arrivals []time.Time
	answer := func(r *run) {
		if !strings.Contains(r.r.Header.Get("Burdocklink-Prompt-Prefix"), taintedPart) {
			r.stream(60*time.Millisecond, 25*time.Millisecond, 20, "a menu", nil)
			return
		}
		mutex.Lock()
		arrivals = append(arrivals, time.Now())
		mutex.Unlock()
		s.add("request %s with the part reaches server %s", r.request, r.id)
		crash := func() {
			if r.crash(r.incarnation, 3*time.Second, false, "v1") {
				mutex.Lock()
				crashes = append(crashes, time.Now())
				mutex.Unlock()
			}
		}
		if at == "head" || at == "nothing" {
			sleep(r, 60*time.Millisecond)
			if at == "head" {
				r.w.Header().Set("Content-Type", "text/event-stream")
				_, _ = r.w.Write([]byte("id: 1\nda"))
				_ = http.NewResponseController(r.w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
			crash()
			return
		}
		r.stream(60*time.Millisecond, 25*time.Millisecond, 20, "a menu", func(event int) {
			s.add("request %s: server %s has written event %d", r.request, r.id, event)
			time.Sleep(20 * time.Millisecond)
			crash()
		})
	}
	for i := range engines {
		s.servers.add("huvo11a", zones[i%3], true, "v1", []string{models[2*i%4], models[(2*i+1)%4]}, answer)
	}
	s.startAll(entries, `{"version":7,"routes":[{"name":"r-9n73hh2","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,
"targetLatencyMs":500,"priority":1,"service":"huvo11a","maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":250}],
"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,`+fmt.Sprintf(engineText, modelsText(models))+`}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	time.Sleep(3 * time.Second)
	var sound, soundServed, tries int
	draft := func(part string) {
		id := s.newID()
		a := attempt{entry: s.fronts[rand.IntN(entries)], method: "POST", path: "/lohu930/" + id[12:], id: id, body: "draft " + id,
			timeout: 15 * time.Second, silence: 2 * time.Second, header: map[string]string{
				"Burdocklink-Model": models[rand.IntN(4)], "Burdocklink-Token-Count": "460,60",
				"Burdocklink-Prompt-Prefix": "5c1e07a2:200," + part + ":150," + id + ":110"}}
		for try := range 2 {
			got := s.send(a)
			s.add("caller: request %s part %s: status %d, %d lines, whole %v", a.id, part, got.status, len(got.lines), got.whole)
			if part != taintedPart {
				mutex.Lock()
				if try == 0 {
					sound++
				}
				if got.status == 200 && got.whole {
					soundServed++
				}
				mutex.Unlock()
			}
			if got.status == 200 && got.whole || got.status != 429 && got.status != 503 && part != taintedPart {
				return
			}
			a.entry, a.id = s.fronts[rand.IntN(entries)], s.newID()
			time.Sleep(200 * time.Millisecond)
		}
	}
	var callers sync.WaitGroup
	step := 0
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		step++
		callers.Go(func() { draft(fmt.Sprintf("50b1ec%02d", rand.IntN(30))) })
		if trouble && step%20 == 10 {
			tries++
			callers.Go(func() { draft(taintedPart) })
		}
	}
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, arrived := range arrivals {
			if arrived.After(crashes[4].Add(contactTime)) {
				late++
			}
		}
	}
	return late > 3, fmt.Sprintf("%d requests with the part sent, %d reached servers, %d servers crashed, %d reached servers later than contactMs after the fifth crash (3 are allowed); %d of %d sound requests served",
		tries, len(arrivals), len(crashes), late, soundServed, sound)
}
