package follower

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

func TestAnEmptyHoldingsUpdateConfirmsEarlierOnes(t *testing.T) {
	cases := map[string]struct {
		holdings  []*wire.Holding
		held      int
		confirmed bool
	}{
		"none": {nil, 0, true},
		"one":  {[]*wire.Holding{{Upstream: "u"}}, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			held, until := 0, time.Time{}
			f := New(Settings{
				OnHoldings:          func(holdings []surveyor.EngineHoldings) { held += len(holdings) },
				OnHoldingsConfirmed: func(at time.Time) { until = at },
			})
			assert.NilError(t, f.handleHoldings("m", newStreamState(), c.holdings, time.Now()))
			assert.Equal(t, held, c.held)
			assert.Equal(t, until.After(time.Now()), c.confirmed)
		})
	}
}

func TestALateConfirmationOfHoldingsEndsTheStream(t *testing.T) {
	cases := map[string]struct {
		delay time.Duration
		stale bool
	}{
		"in time":                   {2 * time.Second, false},
		"one confirmation was late": {4 * time.Second, false},
		"the process was suspended": {6 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, state, now := New(Settings{}), newStreamState(), time.Now()
			assert.NilError(t, f.handleHoldings("m", state, nil, now))
			err := f.handleHoldings("m", state, nil, now.Add(c.delay))
			var target *StaleHoldingsError
			assert.Equal(t, errors.As(err, &target), c.stale)
		})
	}
}

func TestAHeartbeatWithoutPeersKeepsThem(t *testing.T) {
	var calls [][]Peer
	f := New(Settings{PeerAddress: "own", OnPeers: func(peers []Peer) { calls = append(calls, peers) }})
	for _, peers := range [][]string{{"other", "own"}, nil, {"own"}} {
		heartbeat := &wire.Heartbeat{Leading: true, Peers: peers, Capacities: []uint32{192}}
		assert.NilError(t, f.handleHeartbeat("m", newSentReports(), heartbeat))
	}
	assert.DeepEqual(t, calls, [][]Peer{{{Address: "other", Capacity: 192}}, {}})
}

func TestReportIntervalGrowsWithEntries(t *testing.T) {
	cases := map[string]struct {
		entries int64
		want    time.Duration
	}{
		"unknown": {0, 250 * time.Millisecond},
		"few":     {7, 250 * time.Millisecond},
		"seventy": {70, 500 * time.Millisecond},
		"many":    {890, maxReportInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := New(Settings{ReportInterval: 250 * time.Millisecond})
			f.entries.Store(c.entries)
			assert.Equal(t, f.reportInterval(), c.want)
		})
	}
}
