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
	// histories is the number of fixed seeds.
	histories = 10_000
	// shards is the number of histories run in parallel.
	shards = 8
	// steps is the number of steps in a history.
	steps = 250
	// freeHistoriesVariable is the environment variable with the number of
	// histories to run with random seeds.
	freeHistoriesVariable = "BURDOCKLINK_FREE_HISTORIES"
)

// proposal is a command in flight to the leader. Its result may get lost.
type proposal struct {
	command applier.Command
	answer  func(applier.Result)
}

// simulation runs one random history: a state, its clients, and oracles that
// check the results.
type simulation struct {
	t         *testing.T
	seed      uint64
	rand      *rand.Rand
	state     *applier.State
	reference *applier.State
	index     uint64
	now       time.Time
	inFlight  []*proposal

	claims    *claimOracle
	operators *operatorOracle
	fleet     *fleet
	configure *configureOracle
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t:         t,
		seed:      seed,
		rand:      rand.New(rand.NewPCG(seed, 1)),
		state:     applier.New(),
		reference: applier.New(),
		now:       start,
	}
	s.claims = newClaimOracle(s)
	s.operators = newOperatorOracle(s)
	s.fleet = newFleet(s)
	s.configure = &configureOracle{sim: s}
	s.fleet.begin()
	return s
}

// chance reports true with probability 1/n.
func (s *simulation) chance(n int) bool { return s.rand.IntN(n) == 0 }

func (s *simulation) failf(format string, arguments ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d, index %d: %s", s.seed, s.index, fmt.Sprintf(format, arguments...))
}

// propose puts a command in flight. Commands may be reordered, duplicated or
// lost.
func (s *simulation) propose(command applier.Command, answer func(applier.Result)) {
	s.inFlight = append(s.inFlight, &proposal{command: command, answer: answer})
}

// deliver applies a random command in flight, or drops it.
func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	index := s.rand.IntN(len(s.inFlight))
	p := s.inFlight[index]
	if !s.chance(6) {
		s.inFlight = append(s.inFlight[:index], s.inFlight[index+1:]...)
	}
	if s.chance(20) {
		return
	}
	result := s.apply(p.command)
	if p.answer != nil && !s.chance(8) {
		p.answer(result)
	}
}

// apply applies a command to the state and to the reference, which is never
// restored from a snapshot.
func (s *simulation) apply(command applier.Command) applier.Result {
	s.index++
	stamp := s.now
	if s.chance(10) {
		stamp = stamp.Add(-time.Minute)
	}
	before := s.state.Catalog()
	applied := s.state.Apply(s.index, stamp, command)
	s.reference.Apply(s.index, stamp, s.roundTrip(command))
	after := s.state.Catalog()
	if after.Revision < before.Revision || applied.Delta.To != after.Revision || applied.Delta.From != before.Revision {
		s.failf("revision went from %d to %d with delta %v", before.Revision, after.Revision, applied.Delta)
	}
	s.claims.verify(command, applied.Result)
	s.operators.verify(command, applied.Result)
	s.fleet.verify(command, applied.Result)
	s.configure.verify(command, applied.Result)
	s.fleet.verifyListing()
	return applied.Result
}

// roundTrip encodes and decodes the command in some histories, as the log does.
func (s *simulation) roundTrip(command applier.Command) applier.Command {
	if s.seed%7 != 3 {
		return command
	}
	data, err := encoder.EncodeCommand(command)
	assert.NilError(s.t, err)
	read, err := encoder.DecodeCommand(data)
	assert.NilError(s.t, err)
	return read
}

// restart restores the state from its own snapshot.
func (s *simulation) restart() {
	data, err := encoder.EncodeState(s.state)
	assert.NilError(s.t, err)
	s.state, err = encoder.DecodeState(data)
	assert.NilError(s.t, err)
}

// advanceClock advances the clock, mostly by seconds, sometimes by hours.
func (s *simulation) advanceClock() {
	spans := []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second}
	span := spans[s.rand.IntN(len(spans))]
	if s.seed%4 == 0 && s.chance(4) || s.chance(60) {
		span = time.Duration(s.rand.IntN(10)) * time.Hour
	}
	s.now = s.now.Add(span)
}

// step performs one random action. Most actions of a history concern the part
// chosen by its seed, so that it reaches deep states of that part.
func (s *simulation) step() {
	if s.seed%5 == 0 && s.chance(3) {
		s.configure.act()
	}
	switch s.rand.IntN(16) {
	case 0:
		s.advanceClock()
	case 1:
		s.claims.act()
	case 2:
		s.operators.act()
	case 3:
		s.fleet.act()
	case 4, 5, 6, 7:
		s.deliver()
	default:
		s.actOnFocus()
	}
	if s.chance(150) {
		s.restart()
	}
}

func (s *simulation) actOnFocus() {
	switch s.seed % 4 {
	case 0:
		s.claims.act()
	case 1:
		s.operators.act()
	default:
		s.fleet.act()
	}
}

func (s *simulation) run() {
	for range steps {
		s.step()
	}
	s.operators.check()
	restored, err := encoder.EncodeState(s.state)
	assert.NilError(s.t, err)
	reference, err := encoder.EncodeState(s.reference)
	assert.NilError(s.t, err)
	if !bytes.Equal(restored, reference) {
		s.failf("state restored from snapshots differs from the reference")
	}
}

// TestHistories runs random histories with fixed seeds. They produce much
// garbage and retain little, so collecting it less often halves the time.
func TestHistories(t *testing.T) {
	collect := debug.SetGCPercent(400)
	t.Cleanup(func() { debug.SetGCPercent(collect) })
	for shard := range uint64(shards) {
		t.Run(strconv.FormatUint(shard, 10), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < histories; seed += shards {
				newSimulation(t, seed).run()
			}
		})
	}
}

// TestFreeHistories runs the number of histories given by the environment
// variable, from a random first seed that is logged.
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
				newSimulation(t, first+n).run()
			}
		})
	}
}
