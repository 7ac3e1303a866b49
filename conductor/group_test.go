package conductor_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/encoder"
	"burdocklink/faker"
)

// waitTimeout is a generous limit for every wait.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func encoderCodec() conductor.Codec {
	return conductor.Codec{
		EncodeCommand: encoder.EncodeCommand,
		DecodeCommand: encoder.DecodeCommand,
		EncodeState:   encoder.EncodeStateSnapshot,
		DecodeState:   encoder.DecodeState,
	}
}

// process is a control member with its server.
type process struct {
	*conductor.Conductor
	config   conductor.Config
	listener net.Listener
	server   *grpc.Server
	down     bool
	network  networkFault
	// mutex guards Conductor, which start replaces while proposers use it.
	mutex sync.Mutex
}

func (p *process) runServer(server *grpc.Server, listener net.Listener) { _ = server.Serve(listener) }

// cluster is a set of control members in this process.
type cluster struct {
	t         testing.TB
	processes map[string]*process
	number    atomic.Uint64
}

// listen opens a listener on a port that the system does not assign to a connection
// while the member is down.
func listen(t testing.TB) net.Listener {
	t.Helper()
	address, err := faker.FreeAddress()
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return listener
}

// newCluster starts members with the given names, which know each other.
func newCluster(t testing.TB, configure func(*conductor.Config), names ...string) *cluster {
	t.Helper()
	g := newStoppedCluster(t, configure, names...)
	for _, p := range g.processes {
		g.start(p)
	}
	return g
}

// newStoppedCluster returns members with the given names, which know each other and have not
// started.
func newStoppedCluster(t testing.TB, configure func(*conductor.Config), names ...string) *cluster {
	t.Helper()
	g := &cluster{t: t, processes: map[string]*process{}}
	root := t.TempDir()
	var peers []conductor.Member
	for _, name := range names {
		listener := listen(t)
		address := listener.Addr().String()
		peers = append(peers, conductor.Member{Name: name, Address: address})
		g.processes[name] = &process{
			listener: listener,
			config: conductor.Config{
				Name:    name,
				Address: address,
				Folder:  filepath.Join(root, name),
				Codec:   encoderCodec(),
			},
		}
	}
	for _, p := range g.processes {
		p.config.Peers = peers
		p.config.Credentials = newFaultyCredentials(&p.network)
		if configure != nil {
			configure(&p.config)
		}
		p.down = true
	}
	t.Cleanup(g.stop)
	return g
}

func (g *cluster) start(p *process) {
	g.t.Helper()
	member, err := conductor.New(p.config)
	assert.NilError(g.t, err)
	if p.listener == nil {
		p.listener, err = net.Listen("tcp", p.config.Address)
		assert.NilError(g.t, err)
	}
	g.serve(p, member)
}

// serve starts a member at the listener of its process.
func (g *cluster) serve(p *process, member *conductor.Conductor) {
	g.t.Helper()
	p.mutex.Lock()
	p.Conductor = member
	p.mutex.Unlock()
	p.server, p.down = grpc.NewServer(conductor.ServerOptions()...), false
	member.ServeReplication(p.server)
	go p.runServer(p.server, faultyListener{Listener: p.listener, fault: &p.network})
	assert.NilError(g.t, member.Start(context.Background(), nil))
}

// kill stops a member as a crash would.
func (g *cluster) kill(p *process) {
	p.Kill()
	p.server.Stop()
	p.listener, p.down = nil, true
}

func (g *cluster) wipeDisk(p *process) {
	g.kill(p)
	assert.NilError(g.t, os.RemoveAll(p.config.Folder))
	g.start(p)
}

func (g *cluster) stop() {
	for _, p := range g.processes {
		if !p.down {
			g.kill(p)
		}
	}
}

// eventually waits until a condition holds.
func (g *cluster) eventually(condition string, holds func() bool) {
	g.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	for name, p := range g.processes {
		g.t.Logf("%s: down %v, disk %s, %+v", name, p.down, p.Disk(), p.Status())
	}
	g.t.Fatalf("timed out waiting for: %s", condition)
}

// leader waits for a member with a lease.
func (g *cluster) leader() *process {
	g.t.Helper()
	var found *process
	g.eventually("a leader", func() bool {
		for _, p := range g.processes {
			if !p.down && p.Status().Leading {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

// model returns a change that adds a new model. Its request ID is the model's name.
func (g *cluster) model() applier.Change {
	number := g.number.Add(1)
	name := "model-" + strconv.FormatUint(number, 10)
	return applier.Change{
		Operator:     "operator",
		RequestID:    name,
		BaseRevision: applier.AnyRevision,
		Changes:      []cataloger.Change{cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "s", MemoryBytes: 1, Version: "1"}}},
	}
}

// commit proposes a model until it is accepted and returns its name.
func (g *cluster) commit() string {
	g.t.Helper()
	command := g.model()
	g.eventually("a commit", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		applied, err := g.leader().Propose(ctx, command)
		if err != nil {
			return false
		}
		_, accepted := applied.Result.(applier.Accepted)
		return accepted
	})
	return command.RequestID
}

func (g *cluster) models(p *process) map[string]cataloger.Model {
	var models map[string]cataloger.Model
	assert.NilError(g.t, p.Read(context.Background(), func(s *applier.State) { models = s.Catalog().Models }))
	return models
}

// awaitVoters waits until the leader knows the wanted number of voters that are
// running on their current disks.
func (g *cluster) awaitVoters(want int) {
	g.t.Helper()
	g.eventually(strconv.Itoa(want)+" voters", func() bool {
		count := 0
		for _, member := range g.leader().Status().Members {
			p := g.processes[member.Name]
			if member.Role == conductor.Voter && p != nil && !p.down && p.Disk() == member.Disk {
				count++
			}
		}
		return count == want
	})
}

func TestGroupSurvivesKillsAndRestarts(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	names := []string{g.commit()}
	for range 3 {
		killed := g.leader()
		g.kill(killed)
		names = append(names, g.commit())
		g.start(killed)
	}
	for _, p := range g.processes {
		g.kill(p)
	}
	for _, p := range g.processes {
		g.start(p)
	}
	names = append(names, g.commit())
	for _, p := range g.processes {
		g.eventually("all changes", func() bool { return len(g.models(p)) == len(names) })
	}
	_, err := g.leader().Confirm(context.Background())
	assert.NilError(t, err)
}

// awaitSuccessor waits until a member other than the old leader leads, and checks
// that the old one does not lead then.
func (g *cluster) awaitSuccessor(old *process) *process {
	g.t.Helper()
	var found *process
	g.eventually("a successor", func() bool {
		for _, p := range g.processes {
			if p == old || p.down || !p.Status().Leading {
				continue
			}
			assert.Assert(g.t, !old.Status().Leading, "two leases")
			found = p
			return true
		}
		return false
	})
	return found
}

func TestSilentPartitionOfTheLeader(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	names := []string{g.commit()}
	old := g.leader()
	old.network.active.Store(true)
	isolated := make(chan error, 1)
	lost := &lostProposal{group: g, leader: old, answer: isolated}
	go lost.run()
	next := g.awaitSuccessor(old)
	_, err := next.Propose(context.Background(), g.model())
	assert.NilError(t, err)
	var uncertain *conductor.UncertainError
	var notLeader *conductor.NotLeaderError
	err = <-isolated
	assert.Assert(t, errors.As(err, &uncertain) || errors.As(err, &notLeader), "%v", err)
	old.network.active.Store(false)
	g.eventually("all changes on the old leader", func() bool { return len(g.models(old)) == len(names)+1 })
	_, err = g.leader().Confirm(context.Background())
	assert.NilError(t, err)
}

// lostProposal is a proposal at a leader that is cut off from the other members or
// whose disk is blocked.
type lostProposal struct {
	group  *cluster
	leader *process
	answer chan error
}

func (l *lostProposal) run() {
	_, err := l.leader.Propose(context.Background(), l.group.model())
	l.answer <- err
}

func TestStopTransfersLeadership(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	old := g.leader()
	assert.NilError(t, old.Stop(time.Now().Add(waitTimeout)))
	old.server.Stop()
	old.listener, old.down = nil, true
	g.commit()
}

func TestWipedDiskIsRepairedAndNextLossSurvived(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	leader := g.leader()
	var wiped *process
	for _, p := range g.processes {
		if p != leader {
			wiped = p
		}
	}
	old := wiped.Disk()
	g.wipeDisk(wiped)
	assert.Assert(t, wiped.Disk() != old)
	g.awaitVoters(3)
	g.commit()
	g.kill(g.leader())
	g.commit()
}

func TestLearnerReplacesLostVoter(t *testing.T) {
	g := newCluster(t, func(c *conductor.Config) {
		c.Voters = 3
		c.LostAfter = time.Second
	}, "a", "b", "c", "d")
	g.commit()
	g.kill(g.leader())
	g.awaitVoters(3)
	g.kill(g.leader())
	g.commit()
}

func TestMembersAreAddedAndRemovedWhileServing(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	added := newCluster(t, func(c *conductor.Config) {
		c.Peers = append(c.Peers, conductor.Member{Name: "a", Address: g.processes["a"].config.Address})
	}, "z")
	z := added.processes["z"]
	g.processes["z"] = z
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	member := conductor.Member{Name: "z", Address: z.config.Address}
	assert.NilError(t, g.leader().AddMember(ctx, member))
	g.awaitVoters(4)
	old := g.leader()
	g.eventually("removal", func() bool {
		err := g.leader().RemoveMember(ctx, old.config.Name, "")
		var notLeader *conductor.NotLeaderError
		assert.Assert(t, err == nil || errors.As(err, &notLeader), "%v", err)
		return err == nil
	})
	g.awaitVoters(3)
	g.commit()
	delete(g.processes, "z")
}

// Commands of the maximum size that Propose accepts can be sent over the links, also
// many at a time.
func TestLargestCommandsAreReplicated(t *testing.T) {
	g := newCluster(t, func(c *conductor.Config) {
		c.Codec = noopCodec()
		c.Codec.EncodeCommand = func(applier.Command) ([]byte, error) {
			return make([]byte, conductor.MaxCommandBytes), nil
		}
	}, "a", "b", "c")
	p := &proposers{group: g, leader: g.leader(), command: noopCommand, retry: true}
	p.commit(40, 8)
	applied := g.leader().Status().Applied
	for _, other := range g.processes {
		g.eventually("all commands", func() bool { return other.Status().Applied >= applied })
	}
}

func TestFollowersSeeEachRevisionOnce(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	for _, p := range g.processes {
		catalog, deltas, cancel := p.Follow()
		defer cancel()
		g.commit()
		delta := <-deltas
		for delta.To <= catalog.Revision {
			delta = <-deltas
		}
		assert.Equal(t, delta.From, catalog.Revision)
	}
}

func TestSnapshotsBoundTheLogAndBringLaggardsUp(t *testing.T) {
	g := newCluster(t, func(c *conductor.Config) { c.SnapshotEntries = 20 }, "a", "b", "c")
	g.commit()
	lagging := g.leader()
	g.kill(lagging)
	const changes = 1200
	for range changes {
		g.commit()
	}
	g.start(lagging)
	g.eventually("all changes on the restarted member", func() bool { return len(g.models(lagging)) == changes+1 })
	segments, err := filepath.Glob(filepath.Join(lagging.config.Folder, "log-*"))
	assert.NilError(t, err)
	assert.Assert(t, len(segments) < 5)
}

// catchUpTimeout is the maximum time until a member that is back votes again.
const catchUpTimeout = 4 * time.Second

// withShortLease sets a lease that is too short for a leader to hold it without
// gaps.
func withShortLease(config *conductor.Config) {
	config.Timing = conductor.DefaultTiming()
	config.Timing.Lease = config.Timing.Heartbeat + time.Millisecond
}

func TestWipedMemberVotesAgainWhileLeaseLapses(t *testing.T) {
	g := newCluster(t, withShortLease, "a", "b", "c")
	g.commit()
	leader := g.leader()
	var wiped *process
	for _, p := range g.processes {
		if p != leader {
			wiped = p
		}
	}
	g.wipeDisk(wiped)
	begin := time.Now()
	g.awaitVoters(3)
	assert.Assert(t, time.Since(begin) <= catchUpTimeout, "the member votes again after %v", time.Since(begin))
}

// A leader whose lease has lapsed when it is stopped transfers leadership as well,
// so that the next leader is there sooner than after an election timeout.
func TestStopTransfersLeadershipWhileLeaseLapses(t *testing.T) {
	g := newCluster(t, withShortLease, "a", "b", "c")
	g.commit()
	// Links to a restarted member are dialled within half a second.
	const stops, stopStep, redialTime = 16, 9 * time.Millisecond, 700 * time.Millisecond
	for i := range stops {
		old := g.leader()
		time.Sleep(redialTime + time.Duration(i)*stopStep)
		assert.NilError(t, old.Stop(time.Now().Add(waitTimeout)))
		stopped := time.Now()
		old.server.Stop()
		old.listener, old.down = nil, true
		g.leader()
		took := time.Since(stopped)
		assert.Assert(t, took < conductor.DefaultElectionMin, "successor took %v to lead", took)
		g.start(old)
		g.awaitVoters(3)
	}
}

// Five members survive the loss of two disks. After one member has lost its disk and
// had time to be replaced, all members crash and two others lose their disks.
func TestTwoLostDisksAfterAnEarlierOneLeaveAQuorum(t *testing.T) {
	g := newCluster(t, withShortLease, "a", "b", "c", "d", "e")
	names := []string{g.commit()}
	g.awaitVoters(5)
	leader := g.leader()
	var others []*process
	for _, p := range g.processes {
		if p != leader {
			others = append(others, p)
		}
	}
	g.wipeDisk(others[0])
	time.Sleep(catchUpTimeout)
	names = append(names, g.commit())
	for _, p := range g.processes {
		g.kill(p)
	}
	for _, p := range others[1:3] {
		assert.NilError(t, os.RemoveAll(p.config.Folder))
	}
	for _, p := range g.processes {
		g.start(p)
	}
	names = append(names, g.commit())
	g.awaitVoters(5)
	for _, p := range g.processes {
		g.eventually("all changes", func() bool { return len(g.models(p)) == len(names) })
	}
}
