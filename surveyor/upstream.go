// Package surveyor keeps an entry's view of the upstreams: which exist, whether
// they are leaving, and what they hold. The leader of the control group reads the
// platform's list for all entries. An entry that hears nothing from it for a while
// asks a peer or reads the list itself, so that it learns of a leaving upstream
// without depending on any other process.
package surveyor

import (
	"time"
)

// State is the lifecycle state of an upstream.
type State int

const (
	// Live upstreams accept requests.
	Live State = iota + 1
	// Leaving upstreams finish their requests and accept no more.
	Leaving
)

// HeldModel is a model that an engine holds, with its adapters.
type HeldModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Upstream is one server in the platform's list.
type Upstream struct {
	// Name is assigned by the platform; a restarted server may keep it.
	Name string
	// Incarnation is new at each start of the server.
	Incarnation      string
	Service          string
	Address          string
	AvailabilityZone string
	// Software is the version of the server's software; empty if unknown.
	Software string
	Slots    int
	State    State
	// GoneAt is when a leaving upstream terminates; zero if unknown.
	GoneAt time.Time
	Holds  []HeldModel
}

// Page is one page of the platform's list.
type Page struct {
	Upstreams []Upstream
	// Skipped is the number of invalid entries.
	Skipped int
	// Next is the name of the next page; empty on the last one.
	Next string
}
