package applier_test

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/classifier"
)

// operatorOracle tracks which changes were accepted.
type operatorOracle struct {
	sim *simulation
	// results holds the first result by operator, request ID and steps.
	results  map[string]applier.Result
	contents map[string]string
	// winners holds the accepted change by its base revision.
	winners  map[uint64]string
	classes  map[string]classifier.Class
	sent     []applier.Change
	revision uint64
}

func newOperatorOracle(sim *simulation) *operatorOracle {
	return &operatorOracle{
		sim:      sim,
		results:  map[string]applier.Result{},
		contents: map[string]string{},
		winners:  map[uint64]string{},
		classes:  map[string]classifier.Class{},
	}
}

// act sends a new change based on the current or an earlier revision, or
// resends one.
func (o *operatorOracle) act() {
	if o.sim.chance(2) {
		o.revision = o.sim.state.Catalog().Revision
	}
	if len(o.sent) > 0 && o.sim.chance(3) {
		o.sim.propose(o.sent[o.sim.rand.IntN(len(o.sent))], nil)
		return
	}
	command := applier.Change{
		Operator:     "o" + strconv.Itoa(o.sim.rand.IntN(3)),
		RequestID:    strconv.Itoa(o.sim.rand.IntN(50)),
		BaseRevision: o.revision,
		Changes:      []cataloger.Change{o.step()},
	}
	if o.sim.chance(10) {
		command.BaseRevision = applier.AnyRevision
	}
	o.sent = append(o.sent, command)
	o.sim.propose(command, nil)
}

func (o *operatorOracle) step() cataloger.Change {
	name := "c" + strconv.Itoa(o.sim.rand.IntN(3))
	if o.sim.chance(5) {
		return cataloger.RemoveClass{Name: name}
	}
	whole := time.Duration(o.sim.rand.IntN(50)-2) * time.Second
	return cataloger.PutClass{Class: classifier.Class{Name: name, Target: classifier.Target{Whole: whole}}}
}

func (o *operatorOracle) verify(command applier.Command, result applier.Result) {
	change, ok := command.(applier.Change)
	if !ok {
		return
	}
	id := change.Operator + "/" + change.RequestID
	// a resend may have another base revision
	content := fmt.Sprint(id, change.Changes)
	if first, used := o.contents[id]; used && first != content {
		if _, invalid := result.(applier.Invalid); !invalid {
			o.sim.failf("request ID %s reused with other steps: %v", id, result)
		}
		return
	}
	o.contents[id] = content
	if first, resent := o.results[content]; resent {
		if !reflect.DeepEqual(first, result) {
			o.sim.failf("resend of %s got %v, first %v", content, result, first)
		}
		return
	}
	o.results[content] = result
	if accepted, won := result.(applier.Accepted); won {
		o.accept(change, content, accepted)
	}
}

func (o *operatorOracle) accept(change applier.Change, content string, accepted applier.Accepted) {
	if change.BaseRevision != applier.AnyRevision {
		if other, taken := o.winners[change.BaseRevision]; taken {
			o.sim.failf("two changes won on revision %d: %s and %s", change.BaseRevision, other, content)
		}
		o.winners[change.BaseRevision] = content
		if accepted.Revision <= change.BaseRevision {
			o.sim.failf("accepted at %d though based on %d", accepted.Revision, change.BaseRevision)
		}
	}
	switch step := change.Changes[0].(type) {
	case cataloger.PutClass:
		if step.Class.Target.Whole < 0 {
			o.sim.failf("negative target accepted")
		}
		o.classes[step.Class.Name] = step.Class
	case cataloger.RemoveClass:
		if _, known := o.classes[step.Name]; !known {
			o.sim.failf("removal of an unknown class accepted")
		}
		delete(o.classes, step.Name)
	}
}

// check compares the catalog's classes with the accepted changes.
func (o *operatorOracle) check() {
	if !reflect.DeepEqual(o.sim.state.Catalog().Classes, o.classes) {
		o.sim.failf("classes %v, accepted %v", o.sim.state.Catalog().Classes, o.classes)
	}
}
