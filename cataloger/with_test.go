package cataloger_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/classifier"
)

func upstream(number int) cataloger.Upstream {
	return cataloger.Upstream{
		Name:    fmt.Sprintf("u-%04d", number),
		Service: fmt.Sprintf("s-%d", number%3),
		State:   cataloger.UpstreamLive,
	}
}

// randomChange returns a random change. It uses few names, so that changes
// affect each other.
func randomChange(random *rand.Rand) cataloger.Change {
	number := random.IntN(4)
	name := fmt.Sprintf("n-%d", number)
	switch random.IntN(11) {
	case 0:
		return cataloger.PutClass{Class: classifier.Class{Name: name, RepeatForbidden: random.IntN(2) == 0}}
	case 1:
		return cataloger.RemoveClass{Name: name}
	case 2:
		return cataloger.PutModel{Model: cataloger.Model{Name: name, MemoryBytes: random.Int64N(9)}}
	case 3:
		return cataloger.RemoveModel{Name: name}
	case 4:
		return cataloger.PutAdapter{Adapter: cataloger.Adapter{Name: name, MemoryBytes: random.Int64N(9)}}
	case 5:
		return cataloger.RemoveAdapter{Name: name}
	case 6:
		changed := upstream(number)
		changed.Service = fmt.Sprintf("s-%d", random.IntN(3))
		return cataloger.PutUpstream{Upstream: changed}
	case 7:
		return cataloger.RemoveUpstream{Name: upstream(number).Name}
	case 8:
		return cataloger.PutRelease{Release: cataloger.Release{ReleaseKey: cataloger.ReleaseKey{Service: "s", Software: name}}}
	case 9:
		return cataloger.RemoveRelease{ReleaseKey: cataloger.ReleaseKey{Service: "s", Software: name}}
	default:
		return cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream: upstream(number).Name,
			Models:   []string{fmt.Sprintf("n-%d", random.IntN(4))},
		}}
	}
}

func TestWithNeverChangesAnEarlierCatalog(t *testing.T) {
	const histories, steps = 200, 30
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 1))
		catalog := cataloger.New()
		for range steps {
			before := rebuild(t, catalog)
			next, err := catalog.With(cataloger.Delta{
				From:    catalog.Revision,
				To:      catalog.Revision + 1,
				Changes: []cataloger.Change{randomChange(random), randomChange(random)},
			})
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(catalog, before), "seed %d", seed)
			catalog = next
		}
	}
}

// rebuild returns an equal catalog that shares nothing with the original.
func rebuild(t *testing.T, catalog *cataloger.Catalog) *cataloger.Catalog {
	t.Helper()
	rebuilt, err := cataloger.New().With(cataloger.Delta{To: catalog.Revision, Changes: catalog.Changes()})
	assert.NilError(t, err)
	// empty lists of former holders and members are not rebuilt
	for name, holders := range catalog.Holders {
		if len(holders) == 0 {
			rebuilt.Holders[name] = holders
		}
	}
	for name, members := range catalog.Services {
		if len(members) == 0 {
			rebuilt.Services[name] = members
		}
	}
	return rebuilt
}

func TestWithRefusesADeltaFromAnotherRevision(t *testing.T) {
	_, err := cataloger.New().With(cataloger.Delta{From: 3, To: 4})

	assert.ErrorType(t, err, &cataloger.RevisionGapError{})
}

// BenchmarkWith measures one change for different numbers of upstreams.
func BenchmarkWith(b *testing.B) {
	changes := map[string]cataloger.Change{
		"class":    cataloger.PutClass{Class: classifier.Class{Name: "c"}},
		"upstream": cataloger.PutUpstream{Upstream: upstream(1)},
	}
	for _, upstreams := range []int{15, 7400} {
		catalog := cataloger.New()
		var all []cataloger.Change
		for number := range upstreams {
			all = append(all, cataloger.PutUpstream{Upstream: upstream(number)})
		}
		catalog, err := catalog.With(cataloger.Delta{To: 1, Changes: all})
		assert.NilError(b, err)
		for name, change := range changes {
			b.Run(fmt.Sprintf("%s/upstreams-%d", name, upstreams), func(b *testing.B) {
				for b.Loop() {
					_, err := catalog.With(cataloger.Delta{From: 1, To: 2, Changes: []cataloger.Change{change}})
					assert.NilError(b, err)
				}
			})
		}
	}
}
