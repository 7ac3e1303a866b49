package prover_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/prover"
)

// shutDownEntry sends SIGTERM to an entry and records the time.
func (f *fleet) shutDownEntry(at *entry) {
	f.record(prover.Shutdown{At: time.Now(), Entry: at.name})
	at.process.signal(syscall.SIGTERM)
}

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	for _, service := range f.services {
		f.setFaults(service, encoder.ServiceFaults{DelayMilliseconds: 1500})
	}
	traffic := f.startTraffic(12, 400, "torta", "krem")
	eventually(t, "streams are in flight", func() bool { return f.runningRequests() >= 6 })

	stopping := f.entries[0]
	f.shutDownEntry(stopping)
	eventually(t, "readiness fails", func() bool { return !stopping.ready() })
	f.shutDownEntry(stopping)

	assert.Equal(t, stopping.process.awaitExit(t), exitDone)
	traffic.end()
	f.checkGuarantees()
}

// runningRequests counts the requests in flight at all engines.
func (f *fleet) runningRequests() int {
	running := 0
	for _, engine := range f.engines {
		var report encoder.LoadReport
		if get(engine.address, encoder.PathLoad, &report) == nil {
			running += report.Running
		}
	}
	return running
}

func TestRestartedEntryDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	changes := f.startChanges()
	for range 3 {
		accepted := changes.count()
		eventually(t, "changes are accepted", func() bool { return changes.count() >= accepted+3 })
		f.entries[0].process.kill()
		f.entries[0].process.launch(t)
		eventually(t, "the entry is ready", f.entries[0].ready)
	}
	changes.end()
	f.checkGuarantees()
}

func TestEntryStartsWhileTheQuorumIsLost(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	f.mustChange(change{class: "kept", request: "kept", flags: []string{"--whole", "1h"}})
	for _, each := range f.entries {
		eventually(t, each.name+" has the change", func() bool { known, _ := f.hasClass(each, "kept"); return known })
	}
	for _, each := range f.members[:2] {
		each.process.kill()
	}
	traffic := f.startTraffic(4, 10, "torta")
	f.awaitAnswers(20)
	f.entries[0].process.kill()
	f.entries[0].process.launch(t)
	f.awaitAnswers(20)
	traffic.end()

	known, ready := f.hasClass(f.entries[0], "kept")
	assert.Assert(t, known || !ready)
	f.checkGuarantees()
}

func TestLeavingUpstreamsGetNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 20, "torta", "krem")
	f.awaitAnswers(10)

	f.announceLeaving(f.engines[0])
	f.announceLeaving(f.services[0])
	time.Sleep(promisedLimits.Leave + time.Second)
	f.awaitAnswers(30)

	traffic.end()
	assert.Equal(t, f.countAnswers().broken, 0)
	f.checkGuarantees()
}

func TestEngineReportsThatItLeaves(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(4, 20, "torta")
	f.awaitAnswers(10)

	post(t, f.engines[0].address, encoder.PathLeave, nil)
	f.record(prover.Leaving{
		At:          time.Now(),
		Upstream:    f.engines[0].vm.Name,
		Incarnation: f.engines[0].vm.Incarnation,
	})
	time.Sleep(promisedLimits.Leave + time.Second)
	f.awaitAnswers(20)

	traffic.end()
	f.checkGuarantees()
}

func TestIsolatedEntryFailsReadiness(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	isolated := f.addIsolatedEntry()
	eventually(t, "the entry is ready", isolated.entry.ready)

	// the entry also knows the leader's advertised address
	isolated.control.blackhole(t, toClient)
	f.members[0].link.blackhole(t, toClient)

	eventually(t, "the entry is not ready", func() bool { return !isolated.entry.ready() })
	for range 50 {
		time.Sleep(pollInterval)
		assert.Assert(t, !isolated.entry.ready(), "ready without a connection to the control members")
	}
	for range 3 {
		f.book(isolated.entry, f.newIdempotencyKey())
	}
	f.checkGuarantees()
}

// isolatedEntry is an entry without peers and its link to the first member.
type isolatedEntry struct {
	entry   *entry
	control *link
}

// addIsolatedEntry starts an entry that reaches the first member over a separate
// link and has no reachable peer.
func (f *fleet) addIsolatedEntry() isolatedEntry {
	f.t.Helper()
	control := newLink(f.t, f.members[0].link.proxy.Upstream)
	added := &entry{name: "entry-alone", address: freeAddress(f.t)}
	added.process = start(f.t, added.name, "entry", "--name", added.name, "--availability-zone", "bp-a",
		"--listen", added.address, "--peer-listen", freeAddress(f.t), "--peers", freeAddress(f.t),
		"--control", control.listen, "--keys", f.keysFile())
	return isolatedEntry{entry: added, control: control}
}

func TestCallerThatLeavesFreesTheEngine(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	body := []byte(`{"model":"torta","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"x"}]}`)
	request := f.newRequest(ctx, http.MethodPost, f.entries[0].url(encoder.PathChat), "leaver", body)
	response, err := callerClient.Do(request)
	assert.NilError(t, err)
	eventually(t, "the engine runs the request", func() bool { return f.runningRequests() > 0 })

	cancel()
	_ = response.Body.Close()

	eventually(t, "the engine has stopped the request", func() bool { return f.runningRequests() == 0 })
}

// TestEntryDoesNotServeStateOfAStaleMember restarts an entry while the only
// reachable member has missed a change that was in force. The entry must not
// become ready with that member's state.
func TestEntryDoesNotServeStateOfAStaleMember(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	stale := f.members[2]
	stale.process.freeze()
	f.mustChange(change{class: "kept", request: "kept", flags: []string{"--whole", "1h"}})
	for _, each := range f.entries {
		eventually(t, each.name+" has the change", func() bool { known, _ := f.hasClass(each, "kept"); return known })
		each.process.kill()
	}
	for _, each := range f.members[:2] {
		each.process.kill()
	}
	stale.process.thaw()
	restarted := f.entries[0]
	restarted.process.launch(t)
	eventually(t, "the entry answers", func() bool { return restarted.alive() })

	for range 20 {
		known, ready := f.hasClass(restarted, "kept")
		assert.Assert(t, known || !ready)
		time.Sleep(10 * pollInterval)
	}
	for _, each := range f.members[:2] {
		each.process.launch(t)
	}
	eventually(t, "the entry has the change again", func() bool { known, _ := f.hasClass(restarted, "kept"); return known })
	f.checkGuarantees()
}
