package applier_test

import (
	"bytes"
	"strconv"

	"burdocklink/applier"
	"burdocklink/cataloger"
)

// configureOracle knows which configuration must be in force: the one with the
// highest version that was applied, with the content that came first.
type configureOracle struct {
	w       *world
	held    cataloger.Configuration
	version uint64
	sent    []applier.Configure
}

// act puts a configuration with a version of uneven steps, or sends one again,
// or other content under a version that was used.
func (o *configureOracle) act() {
	if len(o.sent) > 0 && o.w.chance(3) {
		again := o.sent[o.w.rand.IntN(len(o.sent))]
		if o.w.chance(3) {
			again.Configuration.Content = []byte("other")
		}
		o.w.propose(again, nil)
		return
	}
	o.version += uint64(1 + o.w.rand.IntN(5))
	command := applier.Configure{Configuration: cataloger.Configuration{
		Version: o.version, Content: []byte(strconv.FormatUint(o.version, 10)),
	}}
	o.sent = append(o.sent, command)
	o.w.propose(command, nil)
}

// watch checks the answer and what is in force after each command.
func (o *configureOracle) watch(command applier.Command, result applier.Result) {
	if command, ok := command.(applier.Configure); ok {
		_, accepted := result.(applier.Accepted)
		newer := command.Configuration.Version > o.held.Version
		if accepted != newer {
			o.w.failf("version %d after %d: accepted %v", command.Configuration.Version, o.held.Version, accepted)
		}
		if newer {
			o.held = command.Configuration
		}
	}
	got := o.w.state.Catalog().Configuration
	if got.Version != o.held.Version || !bytes.Equal(got.Content, o.held.Content) {
		o.w.failf("version %d is in force in place of %d", got.Version, o.held.Version)
	}
}
