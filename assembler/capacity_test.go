package assembler_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/administrator"
	"burdocklink/applier"
	"burdocklink/assembler"
	"burdocklink/authenticator"
	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/conductor"
	"burdocklink/faker"
	"burdocklink/follower"
	"burdocklink/linker"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/receiver"
	"burdocklink/registrar"
)

const (
	// waitTimeout is a generous timeout for conditions.
	waitTimeout = 60 * time.Second
	// measureTime is the duration of one measurement.
	measureTime = 5 * time.Second
)

// testSystem is a system without upstreams that runs in the test process.
type testSystem struct {
	control  *assembler.ControlMember
	entries  []*assembler.Entry
	operator *administrator.Administrator
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := faker.FreeAddress()
	assert.NilError(t, err)
	return address
}

func startServices(t testing.TB, services []registrar.Service) {
	t.Helper()
	kernel := registrar.New(zap.NewNop())
	for _, service := range services {
		assert.NilError(t, kernel.Add(service))
	}
	assert.NilError(t, kernel.Start(context.Background(), time.Now().Add(waitTimeout)))
	t.Cleanup(func() { kernel.Stop(time.Now().Add(waitTimeout)) })
}

func newTestSystem(t testing.TB, entries int) *testSystem {
	t.Helper()
	platform, store := faker.NewPlatform(faker.PlatformSettings{}), faker.NewStore(faker.StoreSettings{})
	assert.NilError(t, platform.Start("127.0.0.1:0"))
	assert.NilError(t, store.Start("127.0.0.1:0"))
	t.Cleanup(func() {
		assert.NilError(t, platform.Stop(time.Now().Add(waitTimeout)))
		assert.NilError(t, store.Stop(time.Now().Add(waitTimeout)))
	})
	path := filepath.Join(t.TempDir(), "keys.json")
	key := authenticator.NewKey()
	content, err := authenticator.Add(nil, authenticator.Identity{Name: "o", Role: authenticator.RoleOperator}, key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, content, 0o600))
	keys := func() *authenticator.Authenticator {
		opened, err := authenticator.New(authenticator.Settings{File: path}, zap.NewNop())
		assert.NilError(t, err)
		return opened
	}
	member := conductor.Member{Name: "c-1", Address: freeAddress(t), Role: conductor.Voter}
	control, err := assembler.NewControl(assembler.ControlSettings{
		Member:       member,
		Listen:       member.Address,
		HealthListen: "127.0.0.1:0",
		Peers:        []conductor.Member{member},
		Platform:     "http://" + platform.Address(),
		Store:        "http://" + store.Address(),
		Limits:       orderer.StoreLimits{LoadsPerSecond: 1, LoadsAtOnce: 1, AdaptersInTransit: 1},
		Keys:         keys(),
		Log:          zap.NewNop(),
	})
	assert.NilError(t, err)
	startServices(t, control.Services)
	system := &testSystem{control: control}
	var addresses []string
	for range entries {
		addresses = append(addresses, freeAddress(t))
	}
	for number := range entries {
		name := fmt.Sprintf("e-%d", number)
		entry := assembler.NewEntry(assembler.EntrySettings{
			Name:             name,
			AvailabilityZone: "zone-a",
			PeerListen:       addresses[number],
			Peers:            append(append([]string{}, addresses[:number]...), addresses[number+1:]...),
			Control:          []string{member.Address},
			Callers:          receiver.Settings{Listen: "127.0.0.1:0", Entry: name, AvailabilityZone: "zone-a"},
			Keys:             keys(),
			Log:              zap.NewNop(),
		})
		startServices(t, entry.Services)
		system.entries = append(system.entries, entry)
	}
	system.operator = administrator.New(administrator.Settings{
		Control: []string{member.Address},
		Links:   linker.New(nil, linker.NewMeter(metrics.NewRegistry())),
		Key:     key,
	})
	return system
}

// putClass changes the class waiting and returns the accepted revision.
func (r *testSystem) putClass(t testing.TB, target time.Duration) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	revision, err := r.operator.Change(ctx, uuid.NewString(), applier.AnyRevision, []cataloger.Change{
		cataloger.PutClass{Class: classifier.Class{Name: "waiting", Target: classifier.Target{Whole: target}}},
	})
	assert.NilError(t, err)
	return revision
}

// awaitRevision waits until the revision is in force at all entries.
func (r *testSystem) awaitRevision(t testing.TB, revision uint64) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for _, entry := range r.entries {
		for entry.Follower.Catalog() == nil || entry.Follower.Catalog().Revision < revision {
			assert.Assert(t, time.Now().Before(end), "revision %d never came into force", revision)
			time.Sleep(time.Millisecond)
		}
	}
}

func (r *testSystem) bytes() int64 {
	var sum int64
	for _, entry := range r.entries {
		sum += entry.Meter.Sent() + entry.Meter.Received()
	}
	return sum
}

// processorTime returns the CPU time used by this process.
func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestAnAcceptedChangeComesIntoForceAtEveryEntry(t *testing.T) {
	r := newTestSystem(t, 3)
	for step := range 3 {
		r.awaitRevision(t, r.putClass(t, time.Duration(step+1)*time.Second))
	}
	for _, entry := range r.entries {
		assert.Equal(t, entry.Follower.Catalog().Classes["waiting"].Target.Whole, 3*time.Second)
	}
}

// BenchmarkIdle reports bytes and CPU time per second and entry of an idle system.
// The CPU time includes that of the control member.
func BenchmarkIdle(b *testing.B) {
	for _, entries := range []int{2, 9, 36} {
		b.Run(fmt.Sprintf("entries-%d", entries), func(b *testing.B) {
			r := newTestSystem(b, entries)
			r.awaitRevision(b, r.putClass(b, time.Second))
			for b.Loop() {
				bytes, used := r.bytes(), processorTime(b)
				time.Sleep(measureTime)
				seconds := measureTime.Seconds() * float64(entries)
				b.ReportMetric(float64(r.bytes()-bytes)/seconds, "bytes/s/entry")
				b.ReportMetric(100*(processorTime(b)-used).Seconds()/seconds, "core-percent/entry")
			}
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.Sys)/float64(entries)/(1<<20), "MB/entry")
		})
	}
}

// BenchmarkInForce reports the time from proposing a change until it is in force at
// nine entries.
func BenchmarkInForce(b *testing.B) {
	r := newTestSystem(b, 9)
	r.awaitRevision(b, r.putClass(b, time.Second))
	step := time.Second
	for b.Loop() {
		step += time.Millisecond
		r.awaitRevision(b, r.putClass(b, step))
	}
}

// BenchmarkFollowers reports the bytes and CPU time per stream to entries that only
// follow and report, with both sides in this process.
func BenchmarkFollowers(b *testing.B) {
	for _, streams := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("streams-%d", streams), func(b *testing.B) {
			r := newTestSystem(b, 1)
			r.awaitRevision(b, r.putClass(b, time.Second))
			meter := linker.NewMeter(metrics.NewRegistry())
			var followers []*follower.Follower
			for number := range streams {
				links := linker.New(nil, meter)
				b.Cleanup(links.Close)
				f := follower.New(follower.Settings{
					Entry:     fmt.Sprintf("f-%d", number),
					Control:   []string{r.control.Responder.Address()},
					Links:     links,
					OnCatalog: func(*cataloger.Catalog) {},
					Demand:    func() placer.Demand { return placer.Demand{} },
					Log:       zap.NewNop(),
				})
				startServices(b, []registrar.Service{f})
				followers = append(followers, f)
			}
			time.Sleep(time.Second)
			for b.Loop() {
				bytes, used := meter.Sent()+meter.Received(), processorTime(b)
				time.Sleep(measureTime)
				seconds := measureTime.Seconds() * float64(streams)
				b.ReportMetric(float64(meter.Sent()+meter.Received()-bytes)/seconds, "bytes/s/stream")
				b.ReportMetric(100*(processorTime(b)-used).Seconds()/seconds, "core-percent/stream")
			}
			for _, f := range followers {
				assert.Assert(b, f.Catalog() != nil)
			}
		})
	}
}
