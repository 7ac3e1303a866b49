package applier_test

import (
	"bytes"
	"strconv"

	"burdocklink/applier"
	"burdocklink/cataloger"
)

// configureOracle tracks the configuration that must be in force: the highest
// version applied, with the content that was applied first under that version.
type configureOracle struct {
	sim     *simulation
	want    cataloger.Configuration
	version uint64
	sent    []applier.Configure
}

// act proposes a configuration with a version increased by a random step,
// repeats an earlier one, or sends other content under a used version.
func (o *configureOracle) act() {
	if len(o.sent) > 0 && o.sim.chance(3) {
		resend := o.sent[o.sim.rand.IntN(len(o.sent))]
		if o.sim.chance(3) {
			resend.Configuration.Content = []byte("other")
		}
		o.sim.propose(resend, nil)
		return
	}
	o.version += uint64(1 + o.sim.rand.IntN(5))
	command := applier.Configure{Configuration: cataloger.Configuration{
		Version: o.version, Content: []byte(strconv.FormatUint(o.version, 10)),
	}}
	o.sent = append(o.sent, command)
	o.sim.propose(command, nil)
}

// verify checks the result and the configuration in force after each command.
func (o *configureOracle) verify(command applier.Command, result applier.Result) {
	if command, ok := command.(applier.Configure); ok {
		_, accepted := result.(applier.Accepted)
		newer := command.Configuration.Version > o.want.Version
		if accepted != newer {
			o.sim.failf("version %d after %d: accepted %v", command.Configuration.Version, o.want.Version, accepted)
		}
		if newer {
			o.want = command.Configuration
		}
	}
	got := o.sim.state.Catalog().Configuration
	if got.Version != o.want.Version || !bytes.Equal(got.Content, o.want.Content) {
		o.sim.failf("version %d is in force, want %d", got.Version, o.want.Version)
	}
}
