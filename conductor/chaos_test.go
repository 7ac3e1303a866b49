package conductor_test

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
)

const (
	chaosRounds = 8
	faultPause  = 700 * time.Millisecond
	// roundsVariable sets the number of rounds, for a longer run.
	roundsVariable = "CONDUCTOR_ROUNDS"
)

// recordingProposer commits changes at the leader and records the accepted ones
// with their revisions.
type recordingProposer struct {
	group    *cluster
	targets  []*process
	stop     chan struct{}
	accepted map[string]uint64
	done     *sync.WaitGroup
}

func (r *recordingProposer) run() {
	defer r.done.Done()
	for {
		select {
		case <-r.stop:
			return
		default:
		}
		r.propose()
	}
}

// propose sends a change to each member in turn until one accepts it. A change whose
// outcome is unknown is sent again, as operators do.
func (r *recordingProposer) propose() {
	command := r.group.model()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		applied, err := r.targets[i%len(r.targets)].propose(ctx, command)
		cancel()
		if accepted, ok := applied.Result.(applier.Accepted); err == nil && ok {
			r.accepted[command.RequestID] = accepted.Revision
			return
		}
	}
}

// propose proposes at the current incarnation of the process.
func (p *process) propose(ctx context.Context, command applier.Command) (applier.Applied, error) {
	p.mutex.Lock()
	member := p.Conductor
	p.mutex.Unlock()
	return member.Propose(ctx, command)
}

// TestAcceptedChangesSurviveFaults kills, isolates and wipes members while changes
// are made. It checks that in the end every member has all accepted changes, each at
// a revision of its own. For a longer run use
//
//	CONDUCTOR_ROUNDS=500 go test -run TestAcceptedChangesSurviveFaults -timeout 2h ./conductor/
func TestAcceptedChangesSurviveFaults(t *testing.T) {
	rounds := chaosRounds
	if requested, err := strconv.Atoi(os.Getenv(roundsVariable)); err == nil {
		rounds = requested
	}
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	random := rand.New(rand.NewPCG(1, 1))
	targets := []*process{g.processes["a"], g.processes["b"], g.processes["c"]}
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	var proposers []*recordingProposer
	for range 3 {
		proposer := &recordingProposer{group: g, targets: targets, stop: stop, accepted: map[string]uint64{}, done: done}
		proposers = append(proposers, proposer)
		done.Add(1)
		go proposer.run()
	}
	for range rounds {
		g.injectFault(random, targets[random.IntN(len(targets))])
	}
	close(stop)
	done.Wait()
	g.commit()
	g.checkAccepted(proposers)
}

// injectFault injects a random fault and ends it.
func (g *cluster) injectFault(random *rand.Rand, p *process) {
	switch random.IntN(4) {
	case 0:
		p.network.active.Store(true)
		time.Sleep(2 * faultPause)
		p.network.active.Store(false)
	case 1:
		g.wipeDisk(p)
		g.awaitVoters(3)
	default:
		g.kill(p)
		time.Sleep(faultPause)
		g.start(p)
	}
	time.Sleep(faultPause)
}

// checkAccepted checks that every member's catalog has all accepted changes.
func (g *cluster) checkAccepted(proposers []*recordingProposer) {
	g.t.Helper()
	revisions := map[uint64]string{}
	for _, proposer := range proposers {
		for name, revision := range proposer.accepted {
			assert.Equal(g.t, revisions[revision], "", "two changes at revision %d", revision)
			revisions[revision] = name
		}
	}
	assert.Assert(g.t, len(revisions) > 0)
	want := g.leader().Status().Applied
	for _, p := range g.processes {
		g.eventually("the last change", func() bool { return p.Status().Applied >= want })
		models := g.models(p)
		for _, name := range revisions {
			assert.Equal(g.t, models[name].Name, name, "change missing on member %s", p.config.Name)
		}
	}
}
