package orderer

import (
	"time"

	"burdocklink/cataloger"
)

// copies maps the names that an upstream may hold to their bytes.
type copies map[string]int64

// add counts a name at the most it was said to need.
func (c copies) add(name string, bytes int64) {
	c[name] = max(c[name], bytes)
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
func (l *Ledger) possible(now time.Time, account *Account) copies {
	all := copies{}
	for _, held := range account.Held {
		all.add(held.Name, held.MemoryBytes)
	}
	for _, id := range account.Unsettled {
		if name, bytes, loads := load(l.orders[id].Order.Work); loads {
			all.add(name, bytes)
		}
	}
	for _, late := range account.Late {
		if late.Loads && now.Before(late.Until) {
			all.add(late.Name, late.MemoryBytes)
		}
	}
	return all
}

// CountedBytes is the most accelerator memory that an upstream's models and
// adapters could take.
func (l *Ledger) CountedBytes(now time.Time, upstream string) int64 {
	account, known := l.upstreams[upstream]
	if !known {
		return 0
	}
	return l.possible(now, account).total()
}

// load gives the name and size that a piece of work brings in.
func load(work Work) (name string, bytes int64, loads bool) {
	switch work := work.(type) {
	case LoadModel:
		return work.Model, work.MemoryBytes, true
	case LoadAdapter:
		return work.Adapter, work.MemoryBytes, true
	default:
		return "", 0, false
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
	if name, _, loads := load(work); loads {
		return name
	}
	name, _ := unload(work)
	return name
}

// remember notes that a duplicate of the order may arrive until its NotAfter.
func (a *Account) remember(order Order) {
	late := Late{ID: order.ID, Until: order.NotAfter.Add(ClockMargin)}
	var bytes int64
	late.Name, bytes, late.Loads = load(order.Work)
	late.MemoryBytes = bytes
	if !late.Loads {
		late.Name, _ = unload(order.Work)
	}
	if late.Name != "" {
		a.Late = append(a.Late, late)
	}
}

// prune drops what can no longer arrive.
func (a *Account) prune(now time.Time) {
	kept := a.Late[:0]
	for _, late := range a.Late {
		if now.Before(late.Until) {
			kept = append(kept, late)
		}
	}
	a.Late = kept
}

// supersede drops earlier orders that the upstream refuses from now on,
// because it carried out a later one and checks fences.
func (a *Account) supersede(id uint64) {
	kept := a.Late[:0]
	for _, late := range a.Late {
		if late.ID >= id {
			kept = append(kept, late)
		}
	}
	a.Late = kept
}

// mayLose reports whether a late duplicate of an unload could take the name.
func (a *Account) mayLose(now time.Time, name string) bool {
	for _, late := range a.Late {
		if !late.Loads && late.Name == name && now.Before(late.Until) {
			return true
		}
	}
	return false
}

func (a *Account) holds(name string) bool {
	for _, held := range a.Held {
		if held.Name == name {
			return true
		}
	}
	return false
}

// size is what a name counts for in an upstream: the larger of what the ledger
// and the catalog know, and all of the upstream where neither knows it.
func (a *Account) size(catalog *cataloger.Catalog, name string) int64 {
	var bytes int64
	known := false
	for _, held := range a.Held {
		if held.Name == name {
			bytes, known = held.MemoryBytes, true
		}
	}
	if model, listed := catalog.Models[name]; listed {
		bytes, known = max(bytes, model.MemoryBytes), true
	}
	if adapter, listed := catalog.Adapters[name]; listed {
		bytes, known = max(bytes, adapter.MemoryBytes), true
	}
	if !known {
		return catalog.Upstreams[a.Upstream].MemoryBytes
	}
	return bytes
}
