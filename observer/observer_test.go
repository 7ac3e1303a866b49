package observer

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/router"
)

// newObserver returns an observer of one upstream, its log, and the numbers of calls
// of Wake and Forget.
func newObserver(t *testing.T) (o *Observer, lines *observer.ObservedLogs, wakes, forgets *int) {
	t.Helper()
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "u", Incarnation: "u@1", Address: "127.0.0.1:1", Service: "s",
			Kind: cataloger.PlainUpstream, State: cataloger.UpstreamLive,
		}},
	}})
	assert.NilError(t, err)
	routes := router.New(router.Settings{})
	routes.Update(catalog)
	core, lines := observer.New(zap.DebugLevel)
	wakes, forgets = new(int), new(int)
	o = New(Settings{
		Router: routes, Wake: func() { *wakes++ }, Forget: func(string) { *forgets++ },
		Registry: metrics.NewRegistry(), Log: zap.New(core),
	})
	return o, lines, wakes, forgets
}

var choice = router.Choice{Upstream: "u", Incarnation: "u@1", Address: "127.0.0.1:1"}

func (o *Observer) gaugeValue(name string) int64 {
	return o.settings.Registry.Get(name).(metrics.Gauge).Value()
}

func TestObserveNoticeLogsEachChangeOnce(t *testing.T) {
	cases := map[string]struct {
		notice  router.Notice
		line    string
		fields  []string
		gauge   string
		forgets int
	}{
		"leaves": {router.Notice{Leaving: true}, "upstream leaves",
			[]string{"upstream", "incarnation", "source"}, "upstreams-leaving-answered", 1},
		"pauses": {router.Notice{PausedUntil: time.Now().Add(time.Minute)}, "upstream pauses",
			[]string{"upstream", "incarnation", "until", "source"}, "upstreams-paused-answered", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o, lines, wakes, forgets := newObserver(t)
			assert.Equal(t, o.gaugeValue(c.gauge), int64(0))
			assert.Assert(t, o.Allows(choice))
			for range 100 {
				o.ObserveNotice(choice, c.notice, "")
				o.ObserveNotice(choice, router.Notice{}, "")
			}
			assert.Assert(t, !o.Allows(choice))
			assert.Equal(t, o.gaugeValue(c.gauge), int64(1))
			assert.Equal(t, *wakes, 1)
			assert.Equal(t, *forgets, c.forgets)
			assert.Equal(t, lines.Len(), 1)
			line := lines.All()[0]
			assert.Equal(t, line.Message, c.line)
			for _, field := range c.fields {
				_, found := line.ContextMap()[field]
				assert.Assert(t, found, field)
			}
		})
	}
}

// limitStep is a rate limit in a response and the gauge and number of logged changes
// expected after it.
type limitStep struct {
	limit      router.RateLimit
	unreadable string
	limited    int64
	changes    int
}

func TestObserveLimitLogsEachChange(t *testing.T) {
	o, lines, wakes, _ := newObserver(t)
	two, three := router.RateLimit{Announced: true, PerSecond: 2}, router.RateLimit{Announced: true, PerSecond: 3}
	steps := []limitStep{
		{limit: router.RateLimit{}, limited: 0, changes: 0},
		{limit: two, limited: 1, changes: 1},
		{limit: two, limited: 1, changes: 1},
		{limit: three, limited: 1, changes: 2},
		{unreadable: "much", limited: 1, changes: 2},
		{limit: router.RateLimit{}, limited: 0, changes: 3},
	}
	for _, step := range steps {
		o.ObserveLimit(choice, time.Now(), step.limit, step.unreadable)
		assert.Equal(t, o.gaugeValue("upstreams-limited"), step.limited)
		logged := lines.FilterMessage("upstream changes its limit")
		assert.Equal(t, logged.Len(), step.changes)
		assert.Equal(t, *wakes, step.changes)
	}
	last := lines.FilterMessage("upstream changes its limit").All()[2].ContextMap()
	assert.Equal(t, last["upstream"], "u")
	assert.Equal(t, last["incarnation"], "u@1")
	assert.Equal(t, last["limited"], false)
	assert.Equal(t, last["before"], 3.0)
	assert.Equal(t, lines.FilterMessage("limit not readable").Len(), 1)
}

func TestWarningsAreBounded(t *testing.T) {
	o, lines, wakes, _ := newObserver(t)
	for range 100 {
		o.ObserveNotice(choice, router.Notice{}, strings.Repeat("x", 1000))
	}
	assert.Equal(t, lines.Len(), 1)
	assert.Equal(t, len(lines.All()[0].ContextMap()["text"].(string)), maxLoggedBytes)
	assert.Equal(t, *wakes, 0)
	assert.Assert(t, o.Allows(choice))
}
