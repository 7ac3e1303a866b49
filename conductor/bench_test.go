package conductor_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
)

const (
	rawWriteBytes  = 200
	rawWrites      = 300
	pendingEntries = 8700
	idleTime       = 10 * time.Second
)

// rawSyncRate measures how many synced writes per second the disk of a folder
// performs.
func rawSyncRate(b *testing.B, folder string) float64 {
	b.Helper()
	file, err := os.Create(filepath.Join(folder, "raw"))
	assert.NilError(b, err)
	defer func() { _ = file.Close() }()
	begin := time.Now()
	for range rawWrites {
		_, err := file.Write(make([]byte, rawWriteBytes))
		assert.NilError(b, err)
		assert.NilError(b, file.Sync())
	}
	return rawWrites / time.Since(begin).Seconds()
}

// proposers commits commands from several goroutines concurrently.
type proposers struct {
	group  *cluster
	leader *process
	work   chan uint64
	done   sync.WaitGroup
	// command returns the command with a number.
	command func(uint64) applier.Command
	// retry is set if failed proposals are retried at the current leader.
	retry bool
}

func (p *proposers) run() {
	defer p.done.Done()
	for number := range p.work {
		p.propose(number)
	}
}

func (p *proposers) propose(number uint64) {
	leader := p.leader
	for {
		_, err := leader.Propose(context.Background(), p.command(number))
		if err == nil || !p.retry {
			assert.Check(p.group.t, err)
			return
		}
		leader = p.group.leader()
	}
}

func (p *proposers) commit(count, depth int) {
	p.work = make(chan uint64)
	for range depth {
		p.done.Add(1)
		go p.run()
	}
	for number := range count {
		p.work <- uint64(number)
	}
	close(p.work)
	p.done.Wait()
}

// BenchmarkCommit reports commits per second by the number of concurrent proposers,
// and the raw rate of synced writes on the same disk in the same run.
func BenchmarkCommit(b *testing.B) {
	groups := map[string][]string{"voters=1": {"a"}, "voters=3": {"a", "b", "c"}}
	for name, members := range groups {
		for _, depth := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("%s/depth=%d", name, depth), func(b *testing.B) {
				raw := rawSyncRate(b, b.TempDir())
				g := newCluster(b, nil, members...)
				g.commit()
				p := &proposers{group: g, leader: g.leader(), command: noopCommand}
				b.ResetTimer()
				p.commit(b.N, depth)
				rate := float64(b.N) / b.Elapsed().Seconds()
				b.StopTimer()
				b.ReportMetric(rate, "commits/s")
				b.ReportMetric(raw, "raw-syncs/s")
				b.ReportMetric(rate/raw, "of-raw")
			})
		}
	}
}

// changeCommand returns the change with a number. It changes one of as many models
// as a large group has.
func changeCommand(number uint64) applier.Command {
	const models = 390
	model := cataloger.Model{Name: fmt.Sprintf("model-%d", number%models), MemoryBytes: 1, Version: "1"}
	return applier.Change{
		Operator:     "operator",
		RequestID:    fmt.Sprint(number),
		BaseRevision: applier.AnyRevision,
		Changes:      []cataloger.Change{cataloger.PutModel{Model: model}},
	}
}

// noopCommand returns a no-op, which excludes the cost of the state machine from a
// measurement.
func noopCommand(uint64) applier.Command { return applier.Noop{} }

// BenchmarkRestart reports the time from the start of a member with pending
// entries in its log until it leads with all of them applied.
func BenchmarkRestart(b *testing.B) {
	g := newCluster(b, nil, "a")
	g.commit()
	p := &proposers{group: g, leader: g.leader(), command: changeCommand}
	p.commit(pendingEntries, 256)
	for b.Loop() {
		b.StopTimer()
		g.kill(p.leader)
		b.StartTimer()
		g.start(p.leader)
		g.leader()
		assert.Assert(b, p.leader.Status().Applied > pendingEntries)
	}
}

// BenchmarkFailover reports the time from a crash of the leader to the next
// commit.
func BenchmarkFailover(b *testing.B) {
	g := newCluster(b, nil, "a", "b", "c")
	g.commit()
	worst := time.Duration(0)
	for b.Loop() {
		b.StopTimer()
		killed := g.leader()
		time.Sleep(time.Second)
		b.StartTimer()
		begin := time.Now()
		g.kill(killed)
		g.commit()
		worst = max(worst, time.Since(begin))
		b.StopTimer()
		g.start(killed)
		b.StartTimer()
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
}

// BenchmarkSilentPartition reports the time from when the leader's connections
// start to drop all data until another member leads.
func BenchmarkSilentPartition(b *testing.B) {
	g := newCluster(b, nil, "a", "b", "c")
	g.commit()
	worst := time.Duration(0)
	for b.Loop() {
		b.StopTimer()
		old := g.leader()
		time.Sleep(2 * time.Second)
		b.StartTimer()
		begin := time.Now()
		old.network.active.Store(true)
		g.awaitSuccessor(old)
		worst = max(worst, time.Since(begin))
		b.StopTimer()
		old.network.active.Store(false)
		b.StartTimer()
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
}

// BenchmarkIdle reports the cost of an idle group of three per member: bytes per
// second on its connections and CPU utilisation in percent of a core. All three
// members run in this process.
func BenchmarkIdle(b *testing.B) {
	registry := metrics.NewRegistry()
	g := newCluster(b, func(c *conductor.Config) { c.Metrics = registry }, "a", "b", "c")
	g.commit()
	time.Sleep(time.Second)
	sent := metrics.GetOrRegisterCounter("replication-bytes-sent", registry)
	received := metrics.GetOrRegisterCounter("replication-bytes-received", registry)
	for b.Loop() {
		bytes, cpu := sent.Count()+received.Count(), cpuTime(b)
		time.Sleep(idleTime)
		bytes, cpu = sent.Count()+received.Count()-bytes, cpuTime(b)-cpu
		members := float64(len(g.processes))
		// Only the dialling side counts a byte, but two members transfer it.
		b.ReportMetric(2*float64(bytes)/idleTime.Seconds()/members, "bytes/s/member")
		b.ReportMetric(100*cpu.Seconds()/idleTime.Seconds()/members, "%core/member")
	}
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
