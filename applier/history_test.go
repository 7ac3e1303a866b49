package applier_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/encoder"
)

const (
	// histories is how many fixed seeds run each time.
	histories = 10_000
	// shards run beside each other.
	shards = 8
	// steps is the length of a history.
	steps = 250
	// freeHistoriesVariable names the environment variable that asks for so
	// many histories with seeds of their own.
	freeHistoriesVariable = "BURDOCKLINK_FREE_HISTORIES"
)

// proposal is a command on its way to the leader. Its answer may get lost.
type proposal struct {
	command applier.Command
	answer  func(applier.Result)
}

// world is one history: a state, those who propose to it, and an oracle that
// watches them.
type world struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand
	state  *applier.State
	twin   *applier.State
	index  uint64
	now    time.Time
	flight []*proposal

	claims    *claimOracle
	operators *operatorOracle
	fleet     *fleet
	configure *configureOracle
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:     t,
		seed:  seed,
		rand:  rand.New(rand.NewPCG(seed, 1)),
		state: applier.New(),
		twin:  applier.New(),
		now:   start,
	}
	w.claims = newClaimOracle(w)
	w.operators = newOperatorOracle(w)
	w.fleet = newFleet(w)
	w.configure = &configureOracle{w: w}
	w.fleet.begin()
	return w
}

// chance is true once in n times.
func (w *world) chance(n int) bool { return w.rand.IntN(n) == 0 }

func (w *world) failf(format string, arguments ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, index %d: %s", w.seed, w.index, fmt.Sprintf(format, arguments...))
}

// propose sends a command off. It arrives in any order, maybe twice, or never.
func (w *world) propose(command applier.Command, answer func(applier.Result)) {
	w.flight = append(w.flight, &proposal{command: command, answer: answer})
}

// arrive applies one command that is under way.
func (w *world) arrive() {
	if len(w.flight) == 0 {
		return
	}
	at := w.rand.IntN(len(w.flight))
	p := w.flight[at]
	if !w.chance(6) {
		w.flight = append(w.flight[:at], w.flight[at+1:]...)
	}
	if w.chance(20) {
		return
	}
	result := w.apply(p.command)
	if p.answer != nil && !w.chance(8) {
		p.answer(result)
	}
}

// apply carries out a command on the state and on its twin, which is never
// restored from a snapshot.
func (w *world) apply(command applier.Command) applier.Result {
	w.index++
	stamp := w.now
	if w.chance(10) {
		stamp = stamp.Add(-time.Minute)
	}
	before := w.state.Catalog()
	applied := w.state.Apply(w.index, stamp, command)
	w.twin.Apply(w.index, stamp, w.written(command))
	after := w.state.Catalog()
	if after.Revision < before.Revision || applied.Delta.To != after.Revision || applied.Delta.From != before.Revision {
		w.failf("revision went from %d to %d with delta %v", before.Revision, after.Revision, applied.Delta)
	}
	w.claims.watch(command, applied.Result)
	w.operators.watch(command, applied.Result)
	w.fleet.watch(command, applied.Result)
	w.configure.watch(command, applied.Result)
	w.fleet.watchListing()
	return applied.Result
}

// written is the command as it comes back from the log, in some histories.
func (w *world) written(command applier.Command) applier.Command {
	if w.seed%7 != 3 {
		return command
	}
	data, err := encoder.EncodeCommand(command)
	assert.NilError(w.t, err)
	read, err := encoder.DecodeCommand(data)
	assert.NilError(w.t, err)
	return read
}

// restart replaces the state by what its snapshot holds.
func (w *world) restart() {
	data, err := encoder.EncodeState(w.state)
	assert.NilError(w.t, err)
	w.state, err = encoder.DecodeState(data)
	assert.NilError(w.t, err)
}

// pass lets time go on, mostly a little, sometimes for hours.
func (w *world) pass() {
	spans := []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second}
	span := spans[w.rand.IntN(len(spans))]
	if w.seed%4 == 0 && w.chance(4) || w.chance(60) {
		span = time.Duration(w.rand.IntN(10)) * time.Hour
	}
	w.now = w.now.Add(span)
}

// step does one thing. Each history has a matter that it is mostly about, so
// that it gets far into it.
func (w *world) step() {
	if w.seed%5 == 0 && w.chance(3) {
		w.configure.act()
	}
	switch w.rand.IntN(16) {
	case 0:
		w.pass()
	case 1:
		w.claims.act()
	case 2:
		w.operators.act()
	case 3:
		w.fleet.act()
	case 4, 5, 6, 7:
		w.arrive()
	default:
		w.matter()
	}
	if w.chance(150) {
		w.restart()
	}
}

func (w *world) matter() {
	switch w.seed % 4 {
	case 0:
		w.claims.act()
	case 1:
		w.operators.act()
	default:
		w.fleet.act()
	}
}

func (w *world) run() {
	for range steps {
		w.step()
	}
	w.operators.check()
	one, err := encoder.EncodeState(w.state)
	assert.NilError(w.t, err)
	two, err := encoder.EncodeState(w.twin)
	assert.NilError(w.t, err)
	if !bytes.Equal(one, two) {
		w.failf("state from snapshots differs from the state that saw all commands")
	}
}

// TestHistories runs random histories with fixed seeds. They make much garbage
// and hold little, so that collecting it more rarely saves half the time.
func TestHistories(t *testing.T) {
	collect := debug.SetGCPercent(400)
	t.Cleanup(func() { debug.SetGCPercent(collect) })
	for shard := range uint64(shards) {
		t.Run(strconv.FormatUint(shard, 10), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < histories; seed += shards {
				newWorld(t, seed).run()
			}
		})
	}
}

// TestFreeHistories runs as many histories as the variable asks for, from a
// seed that is different each time and is named on failure.
func TestFreeHistories(t *testing.T) {
	count, err := strconv.ParseUint(os.Getenv(freeHistoriesVariable), 10, 64)
	if err != nil {
		t.Skip("set " + freeHistoriesVariable + " to a number")
	}
	first := rand.Uint64()
	t.Logf("first seed %d", first)
	for shard := range uint64(shards) {
		t.Run(strconv.FormatUint(shard, 10), func(t *testing.T) {
			t.Parallel()
			for n := shard; n < count; n += shards {
				newWorld(t, first+n).run()
			}
		})
	}
}
