package faker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"burdocklink/encoder"
)

// Kinds of platform events.
const (
	vmAdded   = "added"
	vmLeaving = "leaving"
	vmRemoved = "removed"
)

// PlatformSettings configure a stand-in platform.
type PlatformSettings struct {
	// Lag is the age of the list that is served.
	Lag time.Duration
	// VMs are listed from the start.
	VMs []encoder.VM
}

// listVersion is the list of VMs from a time until the next version.
type listVersion struct {
	from time.Time
	vms  []encoder.VM
}

// Platform is a stand-in for the platform's list of VMs. It is changed by
// POST PathVMs, POST PathVMs/NAME/leave and DELETE PathVMs/NAME.
type Platform struct {
	httpServer
	settings PlatformSettings

	mu       sync.Mutex
	versions []listVersion
	events   []encoder.PlatformEvent
}

// NewPlatform returns a platform that has not been started.
func NewPlatform(settings PlatformSettings) *Platform {
	first := listVersion{vms: slices.Clone(settings.VMs)}
	return &Platform{settings: settings, versions: []listVersion{first}}
}

// Start listens on the address and serves requests.
func (p *Platform) Start(address string) error { return p.start(address, p.Handler()) }

// Stop drains requests in flight until the deadline, then closes their
// connections.
func (p *Platform) Stop(deadline time.Time) error { return p.stop(deadline) }

// Handler serves the list, its changes and the record.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+encoder.PathVMs, p.list)
	mux.HandleFunc("POST "+encoder.PathVMs, p.put)
	mux.HandleFunc("POST "+encoder.PathVMs+"/{name}/leave", p.leave)
	mux.HandleFunc("DELETE "+encoder.PathVMs+"/{name}", p.remove)
	mux.HandleFunc("GET "+encoder.PathRecord, p.record)
	return mux
}

// list serves GET PathVMs: the list as it was one lag ago.
func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	cutoff := time.Now().Add(-p.settings.Lag)
	for len(p.versions) > 1 && !p.versions[1].from.After(cutoff) {
		p.versions = p.versions[1:]
	}
	vms := p.versions[0].vms
	p.mu.Unlock()
	answer(w, http.StatusOK, vms)
}

// Put adds a VM or replaces the one with the same name.
func (p *Platform) Put(vm encoder.VM) {
	p.change(vm.Name, vmAdded, func(vms []encoder.VM) []encoder.VM {
		vms = slices.DeleteFunc(vms, hasName(vm.Name))
		return append(vms, vm)
	})
}

// Leave marks a VM as leaving.
func (p *Platform) Leave(name string) {
	p.change(name, vmLeaving, func(vms []encoder.VM) []encoder.VM {
		if i := slices.IndexFunc(vms, hasName(name)); i >= 0 {
			vms[i].State = vmLeaving
		}
		return vms
	})
}

// Remove removes a VM from the list.
func (p *Platform) Remove(name string) {
	p.change(name, vmRemoved, func(vms []encoder.VM) []encoder.VM {
		return slices.DeleteFunc(vms, hasName(name))
	})
}

func hasName(name string) func(encoder.VM) bool {
	return func(vm encoder.VM) bool { return vm.Name == name }
}

// change appends an edited copy of the latest list and records the event.
func (p *Platform) change(name, kind string, edit func([]encoder.VM) []encoder.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	last := slices.Clone(p.versions[len(p.versions)-1].vms)
	event := encoder.PlatformEvent{At: now, Name: name, Kind: kind}
	next := edit(last)
	if i := slices.IndexFunc(next, hasName(name)); i >= 0 {
		event.Incarnation = next[i].Incarnation
	}
	p.versions = append(p.versions, listVersion{from: now, vms: next})
	p.events = append(p.events, event)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	var vm encoder.VM
	if !read(w, r, &vm) {
		return
	}
	p.Put(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) leave(w http.ResponseWriter, r *http.Request) {
	p.Leave(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// Record returns all changes of the list.
func (p *Platform) Record() encoder.PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return encoder.PlatformRecord{Events: slices.Clone(p.events)}
}

func (p *Platform) record(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, p.Record())
}
