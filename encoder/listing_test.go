package encoder

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/surveyor"
)

func TestListingRoundTrip(t *testing.T) {
	cases := map[string]surveyor.Changes{
		"empty": {},
		"full": {Full: true, Upstreams: []surveyor.Upstream{{
			Name: "e1", Incarnation: "e1@1", Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "z", Slots: 3,
			State: surveyor.Live, Holds: []surveyor.HeldModel{{Model: "m", Version: 2, Adapters: []string{"a1"}}},
		}}},
		"leaving upstream": {Upstreams: []surveyor.Upstream{{Name: "e1", Incarnation: "e1@1", State: surveyor.Leaving}}},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, DecodeListing(EncodeListing(want)), want)
		})
	}
}
