package applier

import "burdocklink/cataloger"

// Departure is an incarnation that must not come back to live.
type Departure struct {
	Upstream    string
	Incarnation string
	// Replaced is true where a later incarnation was seen; otherwise the
	// incarnation was removed while it was leaving and stays leaving.
	Replaced bool
}

type incarnation struct{ upstream, incarnation string }

// departures remembers the latest departed incarnations.
type departures struct {
	entries []Departure
	byKey   map[incarnation]bool
}

func newDepartures() *departures { return &departures{byKey: map[incarnation]bool{}} }

func (d *departures) add(departure Departure) {
	key := incarnation{departure.Upstream, departure.Incarnation}
	if replaced, known := d.byKey[key]; known && (replaced || !departure.Replaced) {
		return
	}
	d.entries = append(d.entries, departure)
	d.byKey[key] = departure.Replaced
	for len(d.entries) > MaxDepartures {
		d.dropOldest()
	}
}

func (d *departures) dropOldest() {
	oldest := d.entries[0]
	d.entries = d.entries[1:]
	key := incarnation{oldest.Upstream, oldest.Incarnation}
	if d.byKey[key] == oldest.Replaced {
		delete(d.byKey, key)
	}
}

// find reports whether the incarnation departed and whether it was replaced.
func (d *departures) find(upstream cataloger.Upstream) (replaced, departed bool) {
	replaced, departed = d.byKey[incarnation{upstream.Name, upstream.Incarnation}]
	return replaced, departed
}
