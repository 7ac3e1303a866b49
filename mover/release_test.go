package mover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/historian"
	"burdocklink/surveyor"
)

// setSoftware sets the software version of a listed engine; an empty name unlists it.
func (h *harness) setSoftware(software map[string]string) {
	listed := map[string]surveyor.Upstream{}
	for name, version := range software {
		listed[name] = surveyor.Upstream{Name: name, Incarnation: name + "@1", Service: "s", State: surveyor.Live, Software: version}
	}
	h.mover.handle(listRead{term: h.mover.leadership.term, requestedAt: h.now, listed: listed}, h.now)
	h.drainEvents()
}

// releases returns the committed software versions and whether each is listed.
func (h *harness) releases() map[string]bool {
	listed := map[string]bool{}
	_ = h.group.Read(h.t.Context(), func(state *applier.State) {
		for key, release := range state.Catalog().Releases {
			listed[key.Software] = release.GoneAt.IsZero()
		}
	})
	return listed
}

func TestListedSoftwareVersionsAreCommitted(t *testing.T) {
	h := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"n"}})
	h.group.index = 1
	h.mover.settings.Streams = historian.NewArchive()
	h.group.setLeading(firstTerm, true)
	h.advance(roundInterval)
	h.setSoftware(map[string]string{"e1": "v1", "e2": "v1"})
	assert.Equal(t, h.releases()["v1"], true)
	h.setSoftware(map[string]string{"e1": "v1", "e2": "v2"})
	assert.DeepEqual(t, []bool{h.releases()["v1"], h.releases()["v2"]}, []bool{true, true})
	h.setSoftware(map[string]string{"e2": "v2"})
	assert.DeepEqual(t, []bool{h.releases()["v1"], h.releases()["v2"]}, []bool{false, true})
	_, known := h.group.state.Catalog().Releases[cataloger.ReleaseKey{Service: "s", Software: "v1"}]
	assert.Assert(t, known)
}

func TestStreamsAreOfferedHoldersOfTheirSoftwareVersionOnly(t *testing.T) {
	h := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"n", "m"}})
	// a later leader gives no orders at first
	h.group.setLeading(firstTerm+1, true)
	h.advance(lease / 2)
	h.setSoftware(map[string]string{"e1": "v1", "e2": "v2"})
	cases := map[string]struct {
		want    Want
		holders int
		ready   time.Duration
	}{
		"any version":                {Want{Service: "s", Model: "m"}, 2, 0},
		"version of one holder":      {Want{Service: "s", Model: "m", Software: "v1"}, 1, 0},
		"no engine of the version":   {Want{Service: "s", Model: "m", Software: "v3"}, 0, streamHolderTime},
		"room at an engine of it":    {Want{Service: "s", Model: "n", Software: "v1"}, 0, evictionEstimate + 8*time.Second},
		"no room at an engine of it": {Want{Service: "s", Model: "o", Software: "v2"}, 0, streamHolderTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := <-h.want(c.want)
			assert.Equal(t, len(got.Holders), c.holders)
			assert.Equal(t, got.ReadyIn, c.ready)
			assert.Assert(t, got.Known)
		})
	}
}
