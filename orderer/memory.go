package orderer

import (
	"slices"

	"burdocklink/cataloger"
)

// weights identify what takes memory.
type weights struct{ name, version string }

// copies maps the weights that an upstream may hold to their bytes.
type copies map[weights]int64

// add counts weights at the most they were said to need.
func (c copies) add(what weights, bytes int64) {
	c[what] = max(c[what], bytes)
}

func (c copies) total() int64 {
	var total int64
	for _, bytes := range c {
		total += bytes
	}
	return total
}

// possible returns all that the upstream could come to hold if every order
// that may still be carried out were, and no unload.
func possible(account *Account) copies {
	all := copies{}
	for _, held := range account.Held {
		all.add(weights{held.Name, held.Version}, held.MemoryBytes)
	}
	for _, late := range account.Late {
		if late.Loads {
			all.add(weights{late.Name, late.Version}, late.MemoryBytes)
		}
	}
	return all
}

// CountedBytes is the most accelerator memory that an upstream's models and
// adapters could take.
func (l *Ledger) CountedBytes(upstream string) int64 {
	account, known := l.upstreams[upstream]
	if !known {
		return 0
	}
	return possible(account).total()
}

// load gives the weights and the size that a piece of work brings in.
func load(work Work) (what weights, bytes int64, loads bool) {
	switch work := work.(type) {
	case LoadModel:
		return weights{work.Model, work.Version}, work.MemoryBytes, true
	case LoadAdapter:
		return weights{work.Adapter, work.Version}, work.MemoryBytes, true
	default:
		return weights{}, 0, false
	}
}

// unload gives the name that a piece of work takes out.
func unload(work Work) (name string, unloads bool) {
	switch work := work.(type) {
	case UnloadModel:
		return work.Model, true
	case UnloadAdapter:
		return work.Adapter, true
	default:
		return "", false
	}
}

// subject is the name that a piece of work is about, empty for a role.
func subject(work Work) string {
	if what, _, loads := load(work); loads {
		return what.name
	}
	name, _ := unload(work)
	return name
}

// remember notes that the order may be carried out, now or as a duplicate.
func (a *Account) remember(order Order) {
	what, bytes, loads := load(order.Work)
	late := Late{
		ID:          order.ID,
		Name:        subject(order.Work),
		Version:     what.version,
		Loads:       loads,
		MemoryBytes: bytes,
		NotAfter:    order.NotAfter,
	}
	if late.Name != "" {
		a.Late = append(a.Late, late)
	}
}

// RulesOut reports whether a report that lists what is held rules out any order
// that may still be carried out.
func (a *Account) RulesOut(report Observe) bool {
	return slices.ContainsFunc(a.Late, a.ruledOut(report))
}

// rule drops orders that a report rules out.
func (a *Account) rule(report Observe) {
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

// noteDone marks the order as done.
func (a *Account) noteDone(id uint64) {
	for at := range a.Late {
		if a.Late[at].ID == id {
			a.Late[at].Done = true
		}
	}
}

// noteExpired drops an order that the upstream never saw and can't begin.
func (a *Account) noteExpired(id uint64) {
	a.Late = slices.DeleteFunc(a.Late, func(late Late) bool { return late.ID == id })
}

// mayLose reports whether an unload, unsettled or a late duplicate of one, could
// take the name.
func (a *Account) mayLose(name string) bool {
	for _, late := range a.Late {
		if !late.Loads && late.Name == name {
			return true
		}
	}
	return false
}

// find returns what is held by a name.
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

// Reserved gives, by upstream, the memory that neither the placement nor an
// unsettled order accounts for and that must not be used yet. An upstream that
// has not been observed is reserved whole.
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
		if bytes := unaccounted(account); bytes > 0 {
			reserved[name] = bytes
		}
	}
	return reserved
}

// unaccounted is what duplicates of settled orders could add to what is held
// and loading.
func unaccounted(account *Account) int64 {
	known := *account
	known.Late = slices.DeleteFunc(slices.Clone(account.Late), func(late Late) bool {
		return !slices.Contains(account.Unsettled, late.ID)
	})
	return possible(account).total() - possible(&known).total()
}
