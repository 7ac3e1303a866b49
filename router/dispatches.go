package router

import "sync"

// dispatchIndex tracks the upstreams with requests of this entry in flight, so that
// sharing loads does not scan the whole fleet. It is safe for concurrent use.
type dispatchIndex struct {
	mutex sync.Mutex
	// busy holds the upstreams that may have own requests in flight, changed those
	// whose own load has changed since it was last shared.
	busy    map[string]bool
	changed map[string]bool
}

func newDispatchIndex() *dispatchIndex {
	return &dispatchIndex{busy: map[string]bool{}, changed: map[string]bool{}}
}

// markChanged records that the own load at an upstream has changed.
func (d *dispatchIndex) markChanged(upstream string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.busy[upstream] = true
	d.changed[upstream] = true
}

// drainChanged calls visit once for each upstream whose own load has changed.
func (d *dispatchIndex) drainChanged(visit func(upstream string)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for upstream := range d.changed {
		visit(upstream)
	}
	clear(d.changed)
}

// visitBusy calls isBusy for each upstream that may have own requests in flight, and
// drops those for which it returns false.
func (d *dispatchIndex) visitBusy(isBusy func(upstream string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for upstream := range d.busy {
		if !isBusy(upstream) {
			delete(d.busy, upstream)
		}
	}
}
