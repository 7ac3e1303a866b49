package applier

import "burdocklink/cataloger"

// Departure is an incarnation that was listed once and is no longer.
type Departure struct {
	Upstream    string
	Incarnation string
	// Replaced is true where another incarnation was listed after it; it must
	// not come back.
	Replaced bool
	// Leaving is true where it was leaving; it must not come back to live.
	Leaving bool
}

type incarnation struct{ upstream, incarnation string }

// departures remembers the latest departed incarnations.
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

// markReplaced notes that the upstream is listed in an incarnation, so that all
// others of it are replaced.
func (d *departures) markReplaced(upstream, current string) {
	for _, departure := range d.entries {
		if departure.Upstream == upstream && departure.Incarnation != current {
			departure.Replaced = true
		}
	}
}

// find returns what is known of the incarnation's departure.
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
