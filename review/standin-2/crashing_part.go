//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crashPart is the ID of the part that ends each server that begins to write an answer on it.
const crashPart = "fffffff1"

// manyParts lets one request a second with the part come beside sound ones. All prompts have as
// many parts.
func manyParts(r *record) (int, error) {
	return playCrashes(r, numberOf("PARTS", 600), 1, time.Second)
}

// bursts lets as many requests with the part come at once, now and then, as there are model
// servers. Prompts have few parts.
func bursts(r *record) (int, error) {
	const engines = 12
	burst := numberOf("BURST", engines)
	return playCrashes(r, 4, burst, time.Duration(burst)*8*time.Second/engines)
}

// numberOf returns the number in a variable of the environment, or the usual one.
func numberOf(variable string, usual int) int {
	if number, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return number
	}
	return usual
}

// playCrashes sends so many requests at once with the part, at an interval, beside sound ones.
func playCrashes(r *record, parts, burst int, interval time.Duration) (int, error) {
	const engines, soundPerSecond, span = 12, 80, 60 * time.Second
	s, err := newDeployment(r, 2, 3, engines)
	if err != nil {
		return failed, err
	}
	defer s.stop()
	for _, each := range s.servers[:engines] {
		each.events, each.eventGap, each.downTime = 60, 100*time.Millisecond, 3*time.Second
		each.crashPart = crashPart
	}
	if err := s.start(configuration(7)); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	r.printf("prompts of %d parts; %d sound requests a second, each %v %d at once with the part %s", parts, soundPerSecond, interval, burst, crashPart)
	var group sync.WaitGroup
	var sound, whole atomic.Int64
	var mutex sync.Mutex
	sentAt := map[string]time.Time{}
	started, sent := time.Now(), 0
	for tick := 0; time.Since(started) < span; tick++ {
		m := s.entries()[rand.IntN(2)]
		group.Add(1)
		go func() {
			defer group.Done()
			got := drafted(m, parts, "", 15*time.Second)
			sound.Add(1)
			if got.status == 200 && got.err == nil && strings.Contains(got.body, "id: 60\n") {
				whole.Add(1)
			}
		}()
		if due := started.Add(time.Second + time.Duration(sent/burst)*interval); !time.Now().Before(due) {
			for range burst {
				sent++
				group.Add(1)
				go func() {
					defer group.Done()
					part := crashPart
					if !troubled() {
						part = "fffffff2"
					}
					at := time.Now()
					got := drafted(s.entries()[rand.IntN(2)], parts, part, 15*time.Second)
					mutex.Lock()
					sentAt[got.id] = at
					mutex.Unlock()
				}()
			}
		}
		time.Sleep(time.Until(started.Add(time.Duration(tick+1) * time.Second / soundPerSecond)))
	}
	group.Wait()
	var crashes []time.Time
	reached, late := 0, 0
	for _, each := range s.servers[:engines] {
		each.mutex.Lock()
		crashes = append(crashes, each.crashes...)
		each.mutex.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	for id, at := range sentAt {
		if len(s.ran(id)) == 0 {
			continue
		}
		reached++
		if len(crashes) >= 5 && at.After(crashes[4].Add(3*time.Second)) {
			late++
		}
	}
	r.printf("%d requests with the part sent, %d of them reached servers, %d later than contactMs (3 s) after the fifth crash; servers crashed %d times; %d of %d sound requests were served whole",
		len(sentAt), reached, late, len(crashes), whole.Load(), sound.Load())
	if troubled() && late > 3 {
		return broken, nil
	}
	return held, nil
}

// prompt returns a prompt of a number of parts: a first one that all share, the given one if
// there is one, others that are drawn from those of all requests, and a last one of its own.
func prompt(parts int, odd string) string {
	ids := []string{fmt.Sprintf("a1b2c3:%d", firstTokens)}
	if odd != "" {
		ids = append(ids, fmt.Sprintf("%s:%d", odd, partTokens))
	}
	// distinct ones in a row from a random place of the common parts
	common := max(20, 4*parts)
	for at := rand.IntN(common); len(ids) < parts-1; at++ {
		ids = append(ids, fmt.Sprintf("%x:%d", 0x10000000+at%common*0x1003, partTokens))
	}
	return strings.Join(append(ids, fmt.Sprintf("%x:%d", 0x80000000+rand.IntN(0x60000000), partTokens)), ",")
}

// firstTokens are those of the part that all prompts share, partTokens those of each other part.
const (
	firstTokens = 100
	partTokens  = 2
)

// drafted asks for a stream on a prompt of a number of parts.
func drafted(m *machine, parts int, odd string, timeout time.Duration) tried {
	return ask(m.front(), "POST", "/draft/1", host, []string{
		"Burdocklink-Model: daka510000", fmt.Sprintf("Burdocklink-Token-Count: %d,180", firstTokens+(parts-1)*partTokens),
		"Burdocklink-Prompt-Prefix: " + prompt(parts, odd),
	}, "{}", timeout)
}
