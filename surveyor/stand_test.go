package surveyor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlyAWordThatStillCountsCanStand(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		want string
	}{
		"fresh": {time.Minute, "new"},
		"stale": {-time.Second, "old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &lister{pages: map[string]Page{"": {Upstreams: []Upstream{engine("e1", Live, "old")}}}}
			s, _, _ := survey(l)
			assert.NilError(t, s.read())
			s.told["e1"] = Told{Upstream: "e1", Incarnation: "e1@1", Holds: []Held{{Model: "new"}}, Until: time.Now().Add(c.left)}
			s.Stand(time.Now().Add(time.Hour))
			s.Tell(nil)
			held := s.holds(s.listed["e1"])
			assert.Equal(t, held[0].Model, c.want)
			assert.Equal(t, s.told["e1"].Until.After(time.Now().Add(2*time.Minute)), c.want == "new")
		})
	}
}
