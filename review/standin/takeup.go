//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["takeup"] = takeup }

// takeup: engines of two software versions serve side by side. Two engines, the only ones of their
// version that hold two of the models, are lost for good. Callers take up the streams that broke.
func takeup(s *site, trouble bool) (bool, string) {
	const callersPerSecond, calm, length = 60, 6 * time.Second, 34 * time.Second
	models := []string{"daka510000", "rada7437b5", "ravo486f6a", "nymi57a71f", "gopu49ded4", "base151689"}
	answer := func(r *run) {
		r.mutex.Lock()
		software := r.software
		r.mutex.Unlock()
		s.add("request %s runs at %s, version %s, model %s, after event %q", r.request, r.id, software, r.r.Header.Get("Burdocklink-Model"), r.r.Header.Get("Last-Event-Id"))
		r.stream(60*time.Millisecond, 50*time.Millisecond, 57, software, nil)
	}
	var all []*server
	for i := range 12 {
		software := "v1"
		if i >= 6 {
			software = "v2"
		}
		pair := i % 6 / 2
		all = append(all, s.servers.add("huvo11a", zones[i%3], true, software, []string{models[2*pair], models[2*pair+1]}, answer))
	}
	s.startAll(3, `{"version":7,"routes":[{"name":"r-b9wu3fe","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":25000,
"targetLatencyMs":6000,"priority":1,"service":"huvo11a","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":250}],
"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,`+fmt.Sprintf(engineText, modelsText(models))+`}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	time.Sleep(3 * time.Second)
	start := time.Now()
	var mutex sync.Mutex
	var asked, began, takenUp, wentOn, joined int
	var lostAt time.Time
	call := func() {
		first := s.newID()
		id, events, began0 := first, 0, time.Now()
		model, seen := models[rand.IntN(len(models))], map[string]bool{}
		broken, resumed := false, false
		for try := range 4 {
			left := 25*time.Second - time.Since(began0)
			a := attempt{entry: s.fronts[rand.IntN(3)], method: "POST", path: "/pufi791/" + first[12:], id: id, body: "draft " + first, timeout: left,
				silence: 24 * time.Second, header: map[string]string{"Burdocklink-Model": model, "Burdocklink-Token-Count": "460,171",
					"Burdocklink-Prompt-Prefix": "5c1e07a2:200," + first + ":260"}}
			if events > 0 {
				a.header["Last-Event-Id"], a.header["Resumes"] = strconv.Itoa(events), first
			}
			got := s.send(a)
			before := events
			for _, line := range got.lines {
				if got.status == 200 && strings.HasPrefix(line, "id: ") {
					events++
				}
				if text, found := strings.CutPrefix(line, "data: "); found && got.status == 200 {
					seen[text] = true
				}
			}
			if broken && events > before {
				resumed = true
			}
			s.add("caller: request %s of stream %s (%s), try %d: status %d, events %d to %d, whole %v, retry after %q", id, first, model, try+1, got.status, before, events, got.whole, got.header.Get("Retry-After"))
			if try == 0 {
				mutex.Lock()
				asked++
				if events > 0 {
					began++
				}
				mutex.Unlock()
			}
			if got.status == 200 && got.whole || events == 0 {
				break
			}
			broken = true
			wait := 100 * time.Millisecond
			if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err == nil {
				wait = min(time.Duration(seconds*float64(time.Second)), (25*time.Second-time.Since(began0))/3)
			}
			time.Sleep(wait)
			id = s.newID()
		}
		mutex.Lock()
		defer mutex.Unlock()
		if broken && !lostAt.IsZero() {
			takenUp++
			if resumed {
				wentOn++
			}
		}
		if len(seen) > 1 {
			joined++
		}
	}
	var callers sync.WaitGroup
	lost := []*server{all[0], all[1]}
	if os.Getenv("KEEP_A_COPY") != "" {
		// the control: a copy of each model stays at the version
		lost = []*server{all[0], all[2]}
	}
	if trouble {
		callers.Go(func() {
			time.Sleep(calm)
			mutex.Lock()
			lostAt = time.Now()
			mutex.Unlock()
			for _, each := range lost {
				each.lose()
			}
		})
	}
	tick := time.NewTicker(time.Second / callersPerSecond)
	for time.Since(start) < length {
		<-tick.C
		callers.Go(call)
	}
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	beginShare := float64(began) / float64(asked)
	goesOn := 1.0
	if takenUp > 0 {
		goesOn = float64(wentOn) / float64(takenUp)
	}
	return takenUp >= 12 && goesOn < beginShare/2, fmt.Sprintf("%d of %d streams that were taken up went on (%.2f), %d of %d new streams began (%.2f); 4 servers of the version serve; %d hold events of two versions",
		wentOn, takenUp, goesOn, began, asked, beginShare, joined)
}

// lose ends a server for good. It stays on the list for two seconds.
func (s *server) lose() {
	s.mutex.Lock()
	s.up, s.listedUntil = false, time.Now().Add(2*time.Second)
	s.site.add("server %s is lost for good", s.id)
	s.mutex.Unlock()
	_ = s.web.Close()
}
