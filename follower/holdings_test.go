package follower

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

func TestHoldingsThatNameNoneStand(t *testing.T) {
	cases := map[string]struct {
		holdings []*wire.Holding
		held     int
		stands   bool
	}{
		"none": {nil, 0, true},
		"one":  {[]*wire.Holding{{Upstream: "u"}}, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			held, until := 0, time.Time{}
			f := New(Settings{
				Held:  func(told []surveyor.EngineHoldings) { held += len(told) },
				Stand: func(at time.Time) { until = at },
			})
			assert.NilError(t, f.takeHoldings("m", newTold(), c.holdings, time.Now()))
			assert.Equal(t, held, c.held)
			assert.Equal(t, until.After(time.Now()), c.stands)
		})
	}
}

func TestHoldingsThatHaveGrownOldAreToldAnew(t *testing.T) {
	cases := map[string]struct {
		silent time.Duration
		lapsed bool
	}{
		"in time":                {2 * time.Second, false},
		"one word was late":      {4 * time.Second, false},
		"the process was frozen": {6 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, told, now := New(Settings{}), newTold(), time.Now()
			assert.NilError(t, f.takeHoldings("m", told, nil, now))
			err := f.takeHoldings("m", told, nil, now.Add(c.silent))
			var lapsed *LapsedError
			assert.Equal(t, errors.As(err, &lapsed), c.lapsed)
		})
	}
}

func TestAHeartbeatWithoutPeersChangesNone(t *testing.T) {
	var met [][]string
	f := New(Settings{NotesAddress: "own", Peers: func(peers []string) { met = append(met, peers) }})
	for _, peers := range [][]string{{"other", "own"}, nil, {"own"}} {
		beat := &wire.Heartbeat{Leading: true, Peers: peers}
		assert.NilError(t, f.takeHeartbeat("m", newSentReports(), beat))
	}
	assert.DeepEqual(t, met, [][]string{{"other"}, {}})
}

func TestReportsOfManyEntriesDoNotPressTheLeader(t *testing.T) {
	cases := map[string]struct {
		entries int64
		want    time.Duration
	}{
		"unknown": {0, 250 * time.Millisecond},
		"few":     {7, 250 * time.Millisecond},
		"seventy": {70, 500 * time.Millisecond},
		"many":    {890, longestTell},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(Settings{Tell: 250 * time.Millisecond})
			f.entries.Store(c.entries)
			assert.Equal(t, f.tellTime(), c.want)
		})
	}
}
