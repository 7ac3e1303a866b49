//go:build review3

package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

func init() { cases["large"] = playLarge }

const (
	// cacheTokens is the memory of an engine, kvCapacity in the configuration.
	cacheTokens = 156371
	// largePrompt is the number of prompt tokens of the one large request.
	largePrompt = 4_000_000
	// largeWatch is how long ordinary callers go on after it.
	largeWatch = 40 * time.Second
)

// playLarge has one caller send one request that is larger than the memory of any engine.
// Ordinary callers use a model of the same engines before, and three others afterwards.
func playLarge(s *system, trouble bool) (bool, error) {
	names := []string{"m0", "m1", "m2", "m3"}
	for range 4 {
		engine, err := s.addServer("llm", names...)
		if err != nil {
			return false, err
		}
		engine.cacheTokens = cacheTokens
	}
	var models []map[string]any
	for _, name := range names {
		models = append(models, model(name, 34300, 4))
	}
	services := []map[string]any{engineService("llm", models...)}
	if err := s.start(2, configuration(5, []map[string]any{streamingRoute("chat", "/chat/", "llm")}, services)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	calls := newCalls()
	s.callFor(calls, 5*time.Second, names[:1])
	s.add("before: %v", calls)
	q := ordinary("/chat/large", "m0")
	q.tokens, q.parts = fmt.Sprintf("%d,12", largePrompt), fmt.Sprintf("7e1d:%d", largePrompt)
	if !trouble {
		q.tokens, q.parts = "1100,12", "7e1d:1100"
	}
	got := s.send(s.entries[0], q)
	s.add("one request with %s tokens to %s: %v", q.tokens, s.entries[0].name, got)
	s.callFor(calls, largeWatch, names)
	s.add("at the end: %v", calls)
	s.tellRuns()
	starved, asked, chance := calls.starved()
	most := 1 + 0.1*float64(asked) + 3*chance
	s.add("%d of %d models were asked for and never served; %.3f would be by chance, and %.2f is the most", starved, asked, chance, most)
	return float64(starved) > most, nil
}

// calls counts the answers to ordinary callers by model.
type calls struct {
	mutex       sync.Mutex
	statuses    map[string]map[int]int
	first, last map[string]time.Time
}

func newCalls() *calls {
	return &calls{statuses: map[string]map[int]int{}, first: map[string]time.Time{}, last: map[string]time.Time{}}
}

func (c *calls) record(model string, got answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.statuses[model] == nil {
		c.statuses[model], c.first[model] = map[int]int{}, time.Now()
	}
	c.last[model] = time.Now()
	if got.err != nil {
		got.status = 0
	}
	c.statuses[model][got.status]++
}

// String tells the answers by model and status.
func (c *calls) String() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return fmt.Sprint("answers by model and status (0: none) ", c.statuses)
}

// starved returns how many models were asked for four times or more, over 8 s, and never
// served, and how many were asked for so often. Chance is how many of them would not be served
// if all requests were served alike.
func (c *calls) starved() (starved, asked int, chance float64) {
	unserved := 1 - c.share("")
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for model, statuses := range c.statuses {
		total := 0
		for _, count := range statuses {
			total += count
		}
		if total < 4 || c.last[model].Sub(c.first[model]) < 8*time.Second {
			continue
		}
		asked++
		chance += math.Pow(unserved, float64(total))
		if statuses[http.StatusOK] == 0 {
			starved++
		}
	}
	return starved, asked, chance
}

// callFor has ordinary callers use models at all entries, one request after the other at each.
func (s *system) callFor(c *calls, watch time.Duration, models []string) {
	var group sync.WaitGroup
	start := time.Now()
	for _, n := range s.entries {
		group.Add(1)
		go func() {
			defer group.Done()
			for number := 0; time.Since(start) < watch; number++ {
				model := models[number%len(models)]
				q := ordinary(fmt.Sprintf("/chat/%d", number), model)
				q.timeout = 15 * time.Second
				c.record(model, s.send(n, q))
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	group.Wait()
}
