package accountant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/accountant"
	"burdocklink/matcher"
)

var (
	start  = time.Unix(1000, 0)
	bounds = matcher.QuotaBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 11000}
)

// member is a control member whose leadership a test sets.
type member struct {
	*accountant.Accountant
	term    uint64
	leading bool
}

func newMember() *member {
	m := &member{term: 2, leading: true}
	m.Accountant = accountant.New(accountant.Settings{
		Leadership: func() (uint64, bool) { return m.term, m.leading },
		Bounds:     bounds, Registry: metrics.NewRegistry(), Log: zap.NewNop(),
	})
	return m
}

func configuration(organisations ...matcher.Organisation) *matcher.Configuration {
	return &matcher.Configuration{Organisations: organisations}
}

func limited(name string, perSecond float64) matcher.Organisation {
	return matcher.Organisation{Name: name, Quota: matcher.Quota{PerSecond: perSecond, Burst: perSecond, Unit: matcher.Tokens}}
}

// take asks for requests of 1,000 units until one is not covered.
func take(t *testing.T, m *member, now time.Time, organisation string) (covered int, retryAt time.Time) {
	t.Helper()
	for {
		grants, _, leading := m.Charge(now, "e", []accountant.Want{{Organisation: organisation, Costs: []float64{1000}}})
		assert.Assert(t, leading)
		if grants[0].Covered == 0 {
			return covered, grants[0].RetryAt
		}
		assert.Assert(t, grants[0].ExpiresAt.After(now))
		covered++
	}
}

// Guards against two bursts within a window, from a leader and from its successor, which
// doesn't know what the first one granted.
func TestANewLeaderStartsWithAPartOfTheExcess(t *testing.T) {
	m := newMember()
	m.Configure(start, configuration(limited("o", 100000)))
	covered, _ := take(t, m, start, "o")
	// a fifth of 101,000 saved, 2,000 within the horizon, and one request
	assert.Equal(t, covered, 23)
	m.term++
	covered, _ = take(t, m, start, "o")
	assert.Equal(t, covered, 23)
}

// Guards against grants by a member that no longer leads.
func TestOnlyTheLeaderGrants(t *testing.T) {
	m := newMember()
	m.Configure(start, configuration(limited("o", 1000)))
	m.leading = false
	_, _, leading := m.Charge(start, "e", []accountant.Want{{Organisation: "o", Costs: []float64{1}}})
	assert.Assert(t, !leading)
}

// Guards against a quota that falls only when the saved units have been used up, and against
// an added organisation that has to wait for its burst.
func TestQuotasFollowTheConfiguration(t *testing.T) {
	m := newMember()
	m.Configure(start, configuration(limited("o", 100000)))
	now := start.Add(10 * time.Second)
	m.Configure(now, configuration(limited("o", 1000), limited("added", 5000)))
	covered, _ := take(t, m, now, "o")
	assert.Assert(t, covered <= 3, "%d requests", covered)
	covered, _ = take(t, m, now, "added")
	assert.Assert(t, covered >= 5, "%d requests", covered)
	m.Configure(now, configuration(matcher.Organisation{Name: "o"}))
	grants, _, _ := m.Charge(now, "e", []accountant.Want{{Organisation: "o", Costs: []float64{1e9}}})
	assert.Equal(t, grants[0].Covered, 1, "without a quota there is no limit")
	grants, _, _ = m.Charge(now, "e", []accountant.Want{{Organisation: "added", Costs: []float64{1}}})
	assert.Assert(t, grants[0].Covered == 0 && grants[0].RetryAt.After(now), "not configured any more")
}

// Guards against callers that are all told to come back at the same moment.
func TestRefusedRequestsComeBackOneAfterAnother(t *testing.T) {
	m := newMember()
	m.Configure(start, configuration(limited("o", 10000)))
	_, first := take(t, m, start, "o")
	_, second := take(t, m, start, "o")
	assert.Equal(t, second.Sub(first), 100*time.Millisecond)
	for range 100 {
		_, first = take(t, m, start, "o")
	}
	assert.Assert(t, first.Sub(start) <= 2*time.Second)
}

// Guards against more calls than the leader of a large fleet can answer.
func TestCallsOfLargeFleetsAreSpread(t *testing.T) {
	m := newMember()
	m.Configure(start, configuration(limited("o", 1000)))
	var pause time.Duration
	for i := range 890 {
		_, pause, _ = m.Charge(start, string(rune(i)), nil)
	}
	assert.Equal(t, pause, 890*time.Millisecond)
}

// BenchmarkCharge answers one question of 890 entries about four organisations of 1,000,
// without the call.
func BenchmarkCharge(b *testing.B) {
	m := newMember()
	organisations := make([]matcher.Organisation, 1000)
	for i := range organisations {
		organisations[i] = limited(fmt.Sprint("o", i), 1e6)
	}
	m.Configure(start, configuration(organisations...))
	wants := make([]accountant.Want, 4)
	now, entry := start, 0
	for b.Loop() {
		now, entry = now.Add(time.Millisecond), (entry+1)%890
		for i := range wants {
			wants[i] = accountant.Want{Organisation: organisations[(entry*7+i)%1000].Name, Costs: []float64{1540, 1540}, Spare: 1540}
		}
		m.Charge(now, fmt.Sprint(entry), wants)
	}
}
