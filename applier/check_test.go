package applier_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/classifier"
)

func model(name string) cataloger.Model {
	return cataloger.Model{Name: name, Service: "s", MemoryBytes: 1}
}

func adapter(name, base string) cataloger.Adapter {
	return cataloger.Adapter{Name: name, Model: base, MemoryBytes: 1}
}

func upstream(incarnation string, state cataloger.UpstreamState) cataloger.Upstream {
	return cataloger.Upstream{
		Name: "u", Incarnation: incarnation, Address: "127.0.0.1:1", Service: "s",
		Kind: cataloger.EngineUpstream, State: state, MemoryBytes: 1,
	}
}

// TestBadChangesAreRefused sends a valid step together with each invalid one to
// a catalog with a model and an adapter, and expects neither to be applied.
func TestBadChangesAreRefused(t *testing.T) {
	long := strings.Repeat("x", applier.MaxNameBytes+1)
	early := classifier.Class{Name: "c", Target: classifier.Target{FirstToken: time.Minute, Whole: time.Second}}
	tests := map[string]struct {
		step   cataloger.Change
		reason string
	}{
		"unknown class":             {cataloger.RemoveClass{Name: "x"}, "unknown class x"},
		"negative target":           {putClass("c", -1), "negative target of class c"},
		"first token after whole":   {cataloger.PutClass{Class: early}, "first token promised after the whole answer in class c"},
		"empty name":                {putClass("", 1), "empty name of a class"},
		"long name":                 {putClass(long, 1), "name of a class too long"},
		"model in use":              {cataloger.RemoveModel{Name: "m"}, "an adapter needs the model m"},
		"unknown model":             {cataloger.RemoveModel{Name: "x"}, "unknown model x"},
		"model without size":        {cataloger.PutModel{Model: cataloger.Model{Name: "x", Service: "s"}}, "no memory size of model x"},
		"adapter without base":      {cataloger.PutAdapter{Adapter: adapter("x", "y")}, "unknown base model of adapter x"},
		"adapter named as model":    {cataloger.PutAdapter{Adapter: adapter("m", "m")}, "a model has the name m"},
		"model named as adapter":    {cataloger.PutModel{Model: model("a")}, "an adapter has the name a"},
		"unknown adapter":           {cataloger.RemoveAdapter{Name: "x"}, "unknown adapter x"},
		"upstream step by operator": {cataloger.RemoveUpstream{Name: "u"}, "operators change classes, models and adapters only"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.apply(applier.Watch{Changes: []cataloger.Change{
				cataloger.PutModel{Model: model("m")}, cataloger.PutAdapter{Adapter: adapter("a", "m")},
			}})
			before := m.Catalog().Revision
			valid := putClass("d", time.Second)
			applied := m.apply(change("anna", "1", before, valid, test.step))
			assert.DeepEqual(t, applied.Result, applier.Invalid{Reason: test.reason})
			assert.Equal(t, m.Catalog().Revision, before)
			assert.Equal(t, len(m.Catalog().Classes), 0)
		})
	}
}

func TestBadCommandsAreRefused(t *testing.T) {
	many := make([]cataloger.Change, applier.MaxSteps+1)
	tests := map[string]struct {
		command applier.Command
		reason  string
	}{
		"no operator":           {change("", "1", 0, putClass("c", 1)), "empty operator"},
		"no request ID":         {change("anna", "", 0, putClass("c", 1)), "empty request number"},
		"no changes":            {change("anna", "1", 0), "no changes"},
		"too many steps":        {change("anna", "1", 0, many...), "too many changes at once"},
		"future revision":       {change("anna", "1", 9, putClass("c", 1)), "based on a revision that does not exist"},
		"class step by watcher": {applier.Watch{Changes: []cataloger.Change{putClass("c", 1)}}, "watchers change upstreams, models and adapters only"},
		"duplicate subject":     {applier.Watch{Changes: []cataloger.Change{cataloger.RemoveModel{Name: "m"}, cataloger.PutModel{Model: model("m")}}}, "two steps are about the same thing"},
		"no address":            {applier.Watch{Changes: []cataloger.Change{cataloger.PutUpstream{Upstream: cataloger.Upstream{Name: "u", Incarnation: "i"}}}}, "no address of upstream u"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			assert.DeepEqual(t, m.apply(test.command).Result, applier.Invalid{Reason: test.reason})
			assert.Equal(t, m.Catalog().Revision, uint64(0))
		})
	}
}

func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	m := newMachine()
	list := func(incarnation string, state cataloger.UpstreamState) applier.Result {
		return m.apply(applier.Watch{Changes: []cataloger.Change{
			cataloger.PutUpstream{Upstream: upstream(incarnation, state)},
		}}).Result
	}
	list("one", cataloger.UpstreamLeaving)
	assert.DeepEqual(t, list("one", cataloger.UpstreamLive), applier.Nothing{})
	m.apply(applier.Watch{Changes: []cataloger.Change{cataloger.RemoveUpstream{Name: "u"}}})
	m.restart(t)
	list("one", cataloger.UpstreamLive)
	assert.Equal(t, m.Catalog().Upstreams["u"].State, cataloger.UpstreamLeaving)
	list("two", cataloger.UpstreamLive)
	assert.Equal(t, m.Catalog().Upstreams["u"].State, cataloger.UpstreamLive)
	m.restart(t)
	assert.DeepEqual(t, list("one", cataloger.UpstreamLive), applier.Nothing{})
}

// TestJournalIsBounded makes more changes than the journal holds. A resend of a
// change that was dropped from it conflicts, since its base revision is old.
func TestJournalIsBounded(t *testing.T) {
	m := newMachine()
	for n := range applier.MaxJournalEntries + 1 {
		m.apply(change("anna", fmt.Sprint(n), uint64(n), putClass("chat", time.Duration(n))))
	}
	assert.Equal(t, len(m.AcceptedChanges()), applier.MaxJournalEntries)
	m.restart(t)
	assert.Equal(t, len(m.AcceptedChanges()), applier.MaxJournalEntries)
	resend := m.apply(change("anna", "0", 0, putClass("chat", 0)))
	assert.DeepEqual(t, resend.Result, applier.Conflict{Current: applier.MaxJournalEntries + 1})
}
