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

// operatorOracle knows which changes were accepted.
type operatorOracle struct {
	w *world
	// first is the first answer by operator, number and content.
	first   map[string]applier.Result
	numbers map[string]string
	// winner is the accepted change by the revision it was based on.
	winner  map[uint64]string
	classes map[string]classifier.Class
	sent    []applier.Change
	seen    uint64
}

func newOperatorOracle(w *world) *operatorOracle {
	return &operatorOracle{
		w:       w,
		first:   map[string]applier.Result{},
		numbers: map[string]string{},
		winner:  map[uint64]string{},
		classes: map[string]classifier.Class{},
	}
}

// act sends a new change based on a revision seen earlier, or resends one.
func (o *operatorOracle) act() {
	if o.w.chance(2) {
		o.seen = o.w.state.Catalog().Revision
	}
	if len(o.sent) > 0 && o.w.chance(3) {
		o.w.propose(o.sent[o.w.rand.IntN(len(o.sent))], nil)
		return
	}
	command := applier.Change{
		Operator: "o" + strconv.Itoa(o.w.rand.IntN(3)),
		Request:  strconv.Itoa(o.w.rand.IntN(50)),
		Based:    o.seen,
		Changes:  []cataloger.Change{o.step()},
	}
	if o.w.chance(10) {
		command.Based = applier.AnyRevision
	}
	o.sent = append(o.sent, command)
	o.w.propose(command, nil)
}

func (o *operatorOracle) step() cataloger.Change {
	name := "c" + strconv.Itoa(o.w.rand.IntN(3))
	if o.w.chance(5) {
		return cataloger.RemoveClass{Name: name}
	}
	whole := time.Duration(o.w.rand.IntN(50)-2) * time.Second
	return cataloger.PutClass{Class: classifier.Class{Name: name, Target: classifier.Target{Whole: whole}}}
}

func (o *operatorOracle) watch(command applier.Command, result applier.Result) {
	change, ok := command.(applier.Change)
	if !ok {
		return
	}
	number := change.Operator + "/" + change.Request
	// The revision it is based on is no part of what a resend repeats.
	content := fmt.Sprint(number, change.Changes)
	if taken, used := o.numbers[number]; used && taken != content {
		if _, invalid := result.(applier.Invalid); !invalid {
			o.w.failf("number %s used twice: %v", number, result)
		}
		return
	}
	o.numbers[number] = content
	if first, resent := o.first[content]; resent {
		if !reflect.DeepEqual(first, result) {
			o.w.failf("resend of %s got %v, first %v", content, result, first)
		}
		return
	}
	o.first[content] = result
	if accepted, won := result.(applier.Accepted); won {
		o.accept(change, content, accepted)
	}
}

func (o *operatorOracle) accept(change applier.Change, content string, accepted applier.Accepted) {
	if change.Based != applier.AnyRevision {
		if other, taken := o.winner[change.Based]; taken {
			o.w.failf("two changes won on revision %d: %s and %s", change.Based, other, content)
		}
		o.winner[change.Based] = content
		if accepted.Revision <= change.Based {
			o.w.failf("accepted at %d though based on %d", accepted.Revision, change.Based)
		}
	}
	switch step := change.Changes[0].(type) {
	case cataloger.PutClass:
		if step.Class.Target.Whole < 0 {
			o.w.failf("negative target accepted")
		}
		o.classes[step.Class.Name] = step.Class
	case cataloger.RemoveClass:
		if _, known := o.classes[step.Name]; !known {
			o.w.failf("removal of an unknown class accepted")
		}
		delete(o.classes, step.Name)
	}
}

// check compares the classes in force with all accepted changes.
func (o *operatorOracle) check() {
	if !reflect.DeepEqual(o.w.state.Catalog().Classes, o.classes) {
		o.w.failf("classes %v, accepted %v", o.w.state.Catalog().Classes, o.classes)
	}
}
