package orderer

import (
	"slices"

	"burdocklink/cataloger"
)

// weights identify a version of a model or adapter.
type weights struct{ name, version string }

// footprint maps the weights that an upstream may hold to their bytes.
type footprint map[weights]int64

// add adds weights with the largest size given for them.
func (c footprint) add(w weights, bytes int64) {
	c[w] = max(c[w], bytes)
}

func (c footprint) total() int64 {
	var total int64
	for _, bytes := range c {
		total += bytes
	}
	return total
}

// maxFootprint returns all weights that the upstream would hold if every order
// that may still be carried out were, except unloads.
func maxFootprint(account *Account) footprint {
	total := footprint{}
	for _, held := range account.Held {
		total.add(weights{held.Name, held.Version}, held.MemoryBytes)
	}
	for _, late := range account.Late {
		if late.Loads {
			total.add(weights{late.Name, late.Version}, late.MemoryBytes)
		}
	}
	return total
}

// CountedBytes returns the most accelerator memory that an upstream's models
// and adapters could take.
func (l *Ledger) CountedBytes(upstream string) int64 {
	account, known := l.upstreams[upstream]
	if !known {
		return 0
	}
	return maxFootprint(account).total()
}

// loadedWeights returns the weights that a piece of work loads, and their size.
func loadedWeights(work Work) (w weights, bytes int64, loads bool) {
	switch work := work.(type) {
	case LoadModel:
		return weights{work.Model, work.Version}, work.MemoryBytes, true
	case LoadAdapter:
		return weights{work.Adapter, work.Version}, work.MemoryBytes, true
	default:
		return weights{}, 0, false
	}
}

// unloadedName returns the name that a piece of work unloads.
func unloadedName(work Work) (name string, unloads bool) {
	switch work := work.(type) {
	case UnloadModel:
		return work.Model, true
	case UnloadAdapter:
		return work.Adapter, true
	default:
		return "", false
	}
}

// subject returns the name that a piece of work is about; empty for a role.
func subject(work Work) string {
	if w, _, loads := loadedWeights(work); loads {
		return w.name
	}
	name, _ := unloadedName(work)
	return name
}

// addLate records that the order may be carried out, now or as a duplicate.
func (a *Account) addLate(order Order) {
	w, bytes, loads := loadedWeights(order.Work)
	late := Late{
		ID:          order.ID,
		Name:        subject(order.Work),
		Version:     w.version,
		Loads:       loads,
		MemoryBytes: bytes,
		NotAfter:    order.NotAfter,
	}
	if late.Name != "" {
		a.Late = append(a.Late, late)
	}
}

// RulesOut reports whether a report rules out any order that may still be
// carried out.
func (a *Account) RulesOut(report Observe) bool {
	return slices.ContainsFunc(a.Late, a.ruledOut(report))
}

// dropRuledOut drops orders that a report rules out.
func (a *Account) dropRuledOut(report Observe) {
	a.Late = slices.DeleteFunc(a.Late, a.ruledOut(report))
}

func (a *Account) ruledOut(report Observe) func(Late) bool {
	explained := report.UsedBytes <= a.heldBytes()
	return func(late Late) bool {
		return report.Taken.After(late.NotAfter) && (explained || !late.Loads)
	}
}

func (a *Account) heldBytes() int64 {
	var total int64
	for _, held := range a.Held {
		total += held.MemoryBytes
	}
	return total
}

// supersede drops earlier orders that were done and that the upstream refuses
// from now on, because it carried out a later one and checks fences. A
// duplicate of an order that was refused at first may be under way by now.
func (a *Account) supersede(id uint64) {
	a.Late = slices.DeleteFunc(a.Late, func(late Late) bool { return late.Done && late.ID < id })
}

// markDone marks the order as done.
func (a *Account) markDone(id uint64) {
	for i := range a.Late {
		if a.Late[i].ID == id {
			a.Late[i].Done = true
		}
	}
}

// dropExpired drops an order that the upstream never received and can no longer
// begin.
func (a *Account) dropExpired(id uint64) {
	a.Late = slices.DeleteFunc(a.Late, func(late Late) bool { return late.ID == id })
}

// mayLose reports whether an unsettled unload or a late duplicate of one could
// unload the name.
func (a *Account) mayLose(name string) bool {
	for _, late := range a.Late {
		if !late.Loads && late.Name == name {
			return true
		}
	}
	return false
}

// find returns the held model or adapter of a name.
func (a *Account) find(name string) (Held, bool) {
	for _, held := range a.Held {
		if held.Name == name {
			return held, true
		}
	}
	return Held{}, false
}

func (a *Account) holds(name string) bool {
	_, held := a.find(name)
	return held
}

// Reserved returns, by upstream, the memory that neither the placement nor an
// unsettled order accounts for and that must not be used yet. All memory of an
// upstream that has not been observed is reserved.
func (l *Ledger) Reserved(catalog *cataloger.Catalog) map[string]int64 {
	reserved := map[string]int64{}
	for name, upstream := range catalog.Upstreams {
		if upstream.Kind != cataloger.EngineUpstream {
			continue
		}
		account, known := l.upstreams[name]
		if !known || !account.Observed {
			reserved[name] = upstream.MemoryBytes
			continue
		}
		if bytes := unaccountedBytes(account); bytes > 0 {
			reserved[name] = bytes
		}
	}
	return reserved
}

// unaccountedBytes returns what duplicates of settled orders could add to what
// is held and loading.
func unaccountedBytes(account *Account) int64 {
	accounted := *account
	accounted.Late = slices.DeleteFunc(slices.Clone(account.Late), func(late Late) bool {
		return !slices.Contains(account.Unsettled, late.ID)
	})
	return maxFootprint(account).total() - maxFootprint(&accounted).total()
}
