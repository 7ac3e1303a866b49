package applier

import "burdocklink/cataloger"

// Departure is an upstream incarnation that was removed from the catalog.
type Departure struct {
	Upstream    string
	Incarnation string
	// Replaced reports whether another incarnation was listed after it. A
	// replaced incarnation is never listed again.
	Replaced bool
	// Leaving reports whether it was leaving. Such an incarnation never becomes
	// live again.
	Leaving bool
}

type incarnation struct{ upstream, incarnation string }

// departures holds the last MaxDepartures departed incarnations.
type departures struct {
	entries []*Departure
	byKey   map[incarnation]*Departure
}

func newDepartures() *departures { return &departures{byKey: map[incarnation]*Departure{}} }

func (d *departures) add(departure Departure) {
	key := incarnation{departure.Upstream, departure.Incarnation}
	if known := d.byKey[key]; known != nil {
		known.Replaced = known.Replaced || departure.Replaced
		known.Leaving = known.Leaving || departure.Leaving
		return
	}
	d.entries = append(d.entries, &departure)
	d.byKey[key] = &departure
	for len(d.entries) > MaxDepartures {
		oldest := d.entries[0]
		d.entries = d.entries[1:]
		delete(d.byKey, incarnation{oldest.Upstream, oldest.Incarnation})
	}
}

// markReplaced marks all departed incarnations of the upstream except the
// current one as replaced.
func (d *departures) markReplaced(upstream, current string) {
	for _, departure := range d.entries {
		if departure.Upstream == upstream && departure.Incarnation != current {
			departure.Replaced = true
		}
	}
}

// find returns the departure of the upstream's incarnation, or the zero value if
// none is recorded.
func (d *departures) find(upstream cataloger.Upstream) Departure {
	known := d.byKey[incarnation{upstream.Name, upstream.Incarnation}]
	if known == nil {
		return Departure{}
	}
	return *known
}

func (d *departures) list() []Departure {
	var all []Departure
	for _, departure := range d.entries {
		all = append(all, *departure)
	}
	return all
}
