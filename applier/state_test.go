package applier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/encoder"
)

var start = time.Date(2030, 1, 2, 12, 0, 0, 0, time.UTC)

// machine is a State that applies commands at ascending indexes.
type machine struct {
	*applier.State
	next uint64
	now  time.Time
}

func newMachine() *machine {
	return &machine{State: applier.New(), now: start}
}

func (m *machine) apply(command applier.Command) applier.Applied {
	m.next++
	return m.Apply(m.next, m.now, command)
}

// restart restores the state from its own snapshot.
func (m *machine) restart(t *testing.T) {
	t.Helper()
	data, err := encoder.EncodeState(m.State)
	assert.NilError(t, err)
	m.State, err = encoder.DecodeState(data)
	assert.NilError(t, err)
	reencoded, err := encoder.EncodeState(m.State)
	assert.NilError(t, err)
	assert.DeepEqual(t, reencoded, data)
}

func putClass(name string, whole time.Duration) cataloger.Change {
	return cataloger.PutClass{Class: classifier.Class{Name: name, Target: classifier.Target{Whole: whole}}}
}

func change(operator, request string, based uint64, changes ...cataloger.Change) applier.Change {
	return applier.Change{Operator: operator, RequestID: request, BaseRevision: based, Changes: changes}
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	m := newMachine()
	first := change("anna", "1", 0, putClass("chat", time.Second))
	second := change("bea", "1", 0, putClass("chat", time.Minute))
	assert.DeepEqual(t, m.apply(first).Result, applier.Accepted{Revision: 1})
	assert.DeepEqual(t, m.apply(second).Result, applier.Conflict{Current: 1})
	assert.Equal(t, m.Catalog().Classes["chat"].Target.Whole, time.Second)
}

func TestResendGetsFirstAnswer(t *testing.T) {
	m := newMachine()
	first := change("anna", "1", 0, putClass("chat", time.Second))
	conflicting := change("bea", "1", 0, putClass("chat", time.Minute))
	m.apply(first)
	m.apply(conflicting)
	m.apply(change("anna", "2", 1, putClass("chat", time.Hour)))
	m.restart(t)
	assert.DeepEqual(t, m.apply(first).Result, applier.Accepted{Revision: 1})
	assert.DeepEqual(t, m.apply(conflicting).Result, applier.Conflict{Current: 1})
	assert.Equal(t, m.Catalog().Classes["chat"].Target.Whole, time.Hour)
	rebased := change("anna", "1", m.Catalog().Revision, putClass("chat", time.Second))
	assert.DeepEqual(t, m.apply(rebased).Result, applier.Accepted{Revision: 1})
	reused := change("anna", "1", 0, putClass("chat", 2*time.Second))
	assert.DeepEqual(t, m.apply(reused).Result, applier.Invalid{Reason: "request number was used for another change"})
	assert.Equal(t, len(m.AcceptedChanges()), 2)
	assert.Equal(t, m.AcceptedChanges()[1].Revision, uint64(2))
}
