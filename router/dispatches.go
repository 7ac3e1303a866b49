package router

import "sync"

// dispatchIndex notes at which upstreams this entry has requests, so that telling
// of them does not look through the whole fleet. It is safe for concurrent use.
type dispatchIndex struct {
	mutex sync.Mutex
	// busy are the upstreams that may have own requests in flight, changed those
	// at which that changed since it was told.
	busy    map[string]bool
	changed map[string]bool
}

func newDispatchIndex() *dispatchIndex {
	return &dispatchIndex{busy: map[string]bool{}, changed: map[string]bool{}}
}

// markChanged notes that the own share at an upstream has changed.
func (d *dispatchIndex) markChanged(upstream string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.busy[upstream] = true
	d.changed[upstream] = true
}

// drainChanged hands each upstream at which the own share changed to a visitor,
// once.
func (d *dispatchIndex) drainChanged(visit func(upstream string)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for upstream := range d.changed {
		visit(upstream)
	}
	clear(d.changed)
}

// visitBusy hands on each upstream that may have own requests in flight, and
// forgets those that have none.
func (d *dispatchIndex) visitBusy(isBusy func(upstream string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for upstream := range d.busy {
		if !isBusy(upstream) {
			delete(d.busy, upstream)
		}
	}
}
