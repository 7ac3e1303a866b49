package prover_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newSiteWithSpareCopies starts a site of six engines that hold eight models, four
// of them in two copies.
func newSiteWithSpareCopies(t *testing.T) *platformSite {
	t.Helper()
	s := newPlatformSite(t)
	s.subnet = 20
	s.servers = nil
	for name, models := range map[string][]string{
		"engine-1": {"m1", "m7"}, "engine-2": {"m2", "m8"}, "engine-3": {"m1", "m2"},
		"engine-4": {"m3", "m4"}, "engine-5": {"m5", "m6"}, "engine-6": {"m3", "m5"},
	} {
		s.addServer(name, "engines", models...).eventInterval = 20 * time.Millisecond
	}
	s.addServer("calendar-1", "calendar")
	var models []string
	for i := range 8 {
		models = append(models, fmt.Sprintf(`{"name":"m%d","weightsMb":70,"loadTimeS":1,"warmS":0.2,"diskS":0.5}`, i+1))
	}
	s.models = strings.Join(models, ",")
	s.start()
	return s
}

// TestModelsOfLimitedEnginesAreServedElsewhere sets rate limits far below the
// demand on the only engines that hold two of the models. New copies on other
// engines have to serve these models.
func TestModelsOfLimitedEnginesAreServedElsewhere(t *testing.T) {
	const relieved, length = 10 * time.Second, 18 * time.Second
	s := newSiteWithSpareCopies(t)
	loads := map[string]*load{}
	for i := range 8 {
		model := fmt.Sprintf("m%d", i+1)
		loads[model] = s.startLoad("/draft/1", model, model, map[string]float64{"front-1": 3, "front-2": 1})
	}
	time.Sleep(5 * time.Second)
	limited := []*platformServer{s.server("engine-1"), s.server("engine-2")}
	var limitedAt time.Time
	for _, server := range limited {
		limitedAt = server.setLimit("1")
	}
	time.Sleep(length)
	ended := time.Now()
	for model, l := range loads {
		answers := l.end(limitedAt.Add(relieved))
		served := countStatus(answers, http.StatusOK)
		t.Logf("%s: %d of %d", model, served, len(answers))
		assert.Assert(t, served >= len(answers)*95/100, "%s: %d of %d served", model, served, len(answers))
	}
	for _, server := range limited {
		checkLimit(t, server, 1, limitedAt.Add(limitDelay), ended, nil)
	}
}
