package prover_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newReliefSite starts a site whose engines hold eight models, two of them on one
// engine each, with two copies to spare.
func newReliefSite(t *testing.T) *platformSite {
	t.Helper()
	s := newPlatformSite(t)
	s.block = 20
	s.servers = nil
	for name, models := range map[string][]string{
		"engine-1": {"m1", "m7"}, "engine-2": {"m2", "m8"}, "engine-3": {"m1", "m2"},
		"engine-4": {"m3", "m4"}, "engine-5": {"m5", "m6"}, "engine-6": {"m3", "m5"},
	} {
		s.add(name, "engines", models...).pace = 20 * time.Millisecond
	}
	s.add("calendar-1", "calendar")
	var models []string
	for at := range 8 {
		models = append(models, fmt.Sprintf(`{"name":"m%d","weightsMb":70,"loadTimeS":1,"warmS":0.2,"diskS":0.5}`, at+1))
	}
	s.models = strings.Join(models, ",")
	s.start()
	return s
}

// TestModelsOfLimitedEnginesAreServedElsewhere lets the only engines of two models
// name limits far below what is asked for.
func TestModelsOfLimitedEnginesAreServedElsewhere(t *testing.T) {
	const relieved, length = 10 * time.Second, 18 * time.Second
	s := newReliefSite(t)
	loads := map[string]*load{}
	for at := range 8 {
		model := fmt.Sprintf("m%d", at+1)
		loads[model] = s.flood("/draft/1", model, model, map[string]float64{"front-1": 3, "front-2": 1})
	}
	time.Sleep(5 * time.Second)
	limited := []*platformServer{s.server("engine-1"), s.server("engine-2")}
	var named time.Time
	for _, one := range limited {
		named = one.name("1")
	}
	time.Sleep(length)
	ended := time.Now()
	for model, l := range loads {
		answers := l.end(named.Add(relieved))
		served := countStatus(answers, http.StatusOK)
		t.Logf("%s: %d of %d", model, served, len(answers))
		assert.Assert(t, served >= len(answers)*95/100, "%s: %d of %d served", model, served, len(answers))
	}
	for _, one := range limited {
		checkLimit(t, one, 1, named.Add(limitFrom), ended, nil)
	}
}
