package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
)

func TestPrefixCacheMatchesLongestPrefix(t *testing.T) {
	p := newPrefixCache()
	p.record([]Prefix{{Hash: 1, Tokens: 100}, {Hash: 2, Tokens: 150}}, 10_000)
	cases := map[string]struct {
		parts []Prefix
		want  int
	}{
		"all parts":            {[]Prefix{{Hash: 1, Tokens: 100}, {Hash: 2, Tokens: 150}}, 150},
		"shared first part":    {[]Prefix{{Hash: 1, Tokens: 100}, {Hash: 9, Tokens: 300}}, 100},
		"different first part": {[]Prefix{{Hash: 9, Tokens: 100}, {Hash: 2, Tokens: 150}}, 0},
		"no parts":             {nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, p.cachedTokens(c.parts), c.want) })
	}
}

func TestPrefixCacheEvictsOldest(t *testing.T) {
	p := newPrefixCache()
	// Three segments of 100 tokens fit into 35 % of 1,000 tokens.
	for hash := range uint64(5) {
		p.record([]Prefix{{Hash: hash, Tokens: 100}}, 1000)
	}
	assert.Equal(t, p.cachedTokens([]Prefix{{Hash: 1, Tokens: 100}}), 0)
	assert.Equal(t, p.cachedTokens([]Prefix{{Hash: 4, Tokens: 100}}), 100)
	assert.Equal(t, p.totalTokens, 300)
	assert.Equal(t, len(p.segments), 3)
}

// routerPair returns two routers with the same two engines.
func routerPair(t *testing.T) (*Router, *Router) {
	t.Helper()
	var changes []cataloger.Change
	for _, name := range []string{"e1", "e2"} {
		changes = append(changes,
			cataloger.PutUpstream{Upstream: cataloger.Upstream{
				Name: name, Incarnation: name + "@1", Service: "s", Kind: cataloger.EngineUpstream,
				State: cataloger.UpstreamLive, Slots: 8, CacheTokens: 100_000, Address: name,
			}},
			cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: name, Incarnation: name + "@1", Models: []string{"m"}}})
	}
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: changes})
	assert.NilError(t, err)
	a, b := New(Settings{Seed: 1}), New(Settings{Seed: 2})
	a.Update(catalog)
	b.Update(catalog)
	return a, b
}

func TestSharedLoadsKeepEntriesOffTheSameEngine(t *testing.T) {
	a, b := routerPair(t)
	request := Request{Service: "s", Model: "m", BaseModel: "m", PromptTokens: 2000, AnswerTokens: 100}
	first, err := a.Choose(epoch, &request)
	assert.NilError(t, err)
	a.Started(first, &request, epoch)
	changes := a.LoadChanges()
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].PromptTokens, 2000)
	assert.Equal(t, len(a.LoadChanges()), 0)
	b.MergeLoads(epoch, "a", changes, false)
	for seed := range uint64(20) {
		request.Seed = seed
		second, err := b.Choose(epoch, &request)
		assert.NilError(t, err)
		assert.Assert(t, second.Upstream != first.Upstream)
	}
	// An upstream that a complete load does not list is idle.
	assert.Equal(t, a.Loads()[0].Models["m"], 1)
	a.Finished(first, Sample{Ended: epoch, Size: request.Size(), BaseModel: "m", Outcome: OutcomeFinished})
	assert.Equal(t, len(a.Loads()), 0)
	b.MergeLoads(epoch, "a", nil, true)
	assert.Equal(t, b.find(first.Upstream, first.Incarnation).engine.Load(epoch), 0.0)
}

func TestMemoryOfAnEngineIsNotOvercommitted(t *testing.T) {
	a, _ := routerPair(t)
	request := Request{Service: "s", Model: "m", BaseModel: "m", PromptTokens: 30_000, AnswerTokens: 5_000}
	now, granted := epoch, 0
	for seed := range uint64(20) {
		request.Seed = seed
		// Far enough apart for the prefill rate.
		now = now.Add(5 * time.Second)
		choice, err := a.Choose(now, &request)
		if err != nil {
			continue
		}
		a.Started(choice, &request, now)
		granted++
	}
	assert.Equal(t, granted, 4)
}
