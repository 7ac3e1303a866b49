package router_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/router"
)

// upstreamOf returns a live upstream of service s at a software version.
func upstreamOf(name, software string) cataloger.Upstream {
	return cataloger.Upstream{
		Name: name, Incarnation: name + "@1", Address: "10.0.0.1:1", Service: "s", Software: software,
		Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, Slots: 8,
	}
}

func TestStreamContinuesOnlyAtItsSoftwareVersion(t *testing.T) {
	leaving := upstreamOf("old-2", "v1")
	leaving.State = cataloger.UpstreamLeaving
	cases := map[string]struct {
		upstreams []cataloger.Upstream
		// holding are the upstreams that hold the model; nil for all.
		holding []string
		origin  router.Origin
		// want is the chosen upstream, empty for none; gone is set if none ever will be.
		want string
		gone bool
	}{
		"same version": {
			upstreams: []cataloger.Upstream{upstreamOf("new-1", "v1.1"), upstreamOf("old-1", "v1")},
			origin:    router.Origin{Software: "v1", Incarnation: "old-9@1"}, want: "old-1",
		},
		"no upstream of the version": {
			upstreams: []cataloger.Upstream{upstreamOf("new-1", "v1.1")},
			origin:    router.Origin{Software: "v1", Incarnation: "old-9@1"}, gone: true,
		},
		"upstreams of the version are leaving": {
			upstreams: []cataloger.Upstream{upstreamOf("new-1", "v1.1"), leaving},
			origin:    router.Origin{Software: "v1", Incarnation: "old-9@1"}, gone: true,
		},
		"none of the version holds the model": {
			upstreams: []cataloger.Upstream{upstreamOf("new-1", "v1.1"), upstreamOf("old-1", "v1")},
			holding:   []string{"new-1"},
			origin:    router.Origin{Software: "v1", Incarnation: "old-9@1"},
		},
		"unknown versions are not equal": {
			upstreams: []cataloger.Upstream{upstreamOf("a", ""), upstreamOf("b", "")},
			origin:    router.Origin{Incarnation: "c@1"}, gone: true,
		},
		"unknown version, same incarnation": {
			upstreams: []cataloger.Upstream{upstreamOf("a", ""), upstreamOf("b", "")},
			origin:    router.Origin{Incarnation: "b@1"}, want: "b",
		},
		"restarted with other software under the same name": {
			upstreams: []cataloger.Upstream{{
				Name: "a", Incarnation: "a@2", Address: "10.0.0.1:1", Service: "s", Software: "v1.1",
				Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, Slots: 8,
			}},
			origin: router.Origin{Software: "v1", Incarnation: "a@1"}, gone: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := router.New(router.Settings{})
			var changes []cataloger.Change
			for _, upstream := range c.upstreams {
				changes = append(changes, cataloger.PutUpstream{Upstream: upstream})
				if c.holding == nil {
					c.holding = []string{}
					for _, u := range c.upstreams {
						c.holding = append(c.holding, u.Name)
					}
				}
			}
			for _, holder := range c.holding {
				changes = append(changes, cataloger.PutPlacement{Placement: cataloger.Placement{
					Upstream: holder, Incarnation: holder + "@1", Models: []string{"m"},
				}})
			}
			r.Apply(changes)
			choice, err := r.Choose(time.Now(), &router.Request{Service: "s", Model: "m", Origin: c.origin})
			assert.Equal(t, choice.Upstream, c.want)
			var gone *router.OriginGoneError
			assert.Equal(t, errors.As(err, &gone), c.gone)
			assert.Equal(t, err == nil, c.want != "")
		})
	}
}

func TestOneUpstreamOfAVersionIsFoundAmongMany(t *testing.T) {
	r := router.New(router.Settings{})
	var changes []cataloger.Change
	for i := range 100 {
		upstream := upstreamOf(fmt.Sprint("u", i), "v1.1")
		if i == 57 {
			upstream.Software = "v1"
		}
		changes = append(changes, cataloger.PutUpstream{Upstream: upstream}, cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream: upstream.Name, Incarnation: upstream.Incarnation, Models: []string{"m"},
		}})
	}
	r.Apply(changes)
	for seed := range uint64(20) {
		request := router.Request{Service: "s", Model: "m", Seed: seed, Origin: router.Origin{Software: "v1", Incarnation: "x@1"}}
		choice, err := r.Choose(time.Now(), &request)
		assert.NilError(t, err)
		assert.Equal(t, choice.Upstream, "u57")
	}
}
