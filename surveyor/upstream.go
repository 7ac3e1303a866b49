// Package surveyor keeps an entry's picture of the upstreams: which there are,
// whether they leave, and what they hold. The control group's leader reads the
// platform's list for all. An entry that hears nothing of it for a moment reads
// it itself, so that news of a leaving upstream depends on no other process.
package surveyor

import (
	"time"
)

// State is what an upstream, or the platform, says of its life.
type State int

const (
	// Live upstreams take new work.
	Live State = iota + 1
	// Leaving upstreams finish their work and take no more.
	Leaving
)

// HeldModel is a model that an engine holds, with its adapters.
type HeldModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Upstream is one server as the platform lists it.
type Upstream struct {
	// Name is the platform's; a server that starts again may keep it.
	Name string
	// Incarnation is new for each start of the server.
	Incarnation      string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	State            State
	// GoneAt is when a leaving upstream is gone, zero where that is not told.
	GoneAt time.Time
	Holds  []HeldModel
}

// Page is one page of the platform's list.
type Page struct {
	Upstreams []Upstream
	// Skipped is how many lines could not be used.
	Skipped int
	// Next names the page after it; empty for the last one.
	Next string
}
