package surveyor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlyUnexpiredHoldingsAreExtended(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		want string
	}{
		"valid":   {time.Minute, "new"},
		"expired": {-time.Second, "old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &fakeList{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "old")}}}}
			s, _, _ := newTestSurveyor(l)
			assert.NilError(t, s.read())
			s.holdings["e1"] = EngineHoldings{Upstream: "e1", Incarnation: "e1@1", Holds: []HeldModel{{Model: "new"}}, ValidUntil: time.Now().Add(c.left)}
			s.ExtendHoldings(time.Now().Add(time.Hour))
			s.UpdateHoldings(nil)
			held := s.currentHoldings(s.listed["e1"])
			assert.Equal(t, held[0].Model, c.want)
			assert.Equal(t, s.holdings["e1"].ValidUntil.After(time.Now().Add(2*time.Minute)), c.want == "new")
		})
	}
}
