package poller_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/estimator"
	"burdocklink/faker"
	"burdocklink/linker"
	"burdocklink/poller"
)

// BenchmarkReportBytes measures the bytes of one load report in both directions,
// HTTP headers included, of an engine that holds eight adapters.
func BenchmarkReportBytes(b *testing.B) {
	var held []encoder.Weights
	for number := range 8 {
		held = append(held, encoder.Weights{Name: fmt.Sprintf("adapter-%02d", number), Kind: "adapter", MemoryBytes: 1})
	}
	engine := faker.NewEngine(faker.EngineSettings{Name: "engine-01", Incarnation: "1", MemoryBytes: 100, Holds: held})
	assert.NilError(b, engine.Start("127.0.0.1:0"))
	b.Cleanup(func() { assert.NilError(b, engine.Stop(time.Now().Add(time.Minute))) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	meter := linker.NewMeter(metrics.NewRegistry())
	server := &http.Server{Handler: engine.Handler()}
	go serveLoop{server}.run(meter.Listen(listener))
	b.Cleanup(func() { assert.NilError(b, server.Close()) })
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name:        "engine-01",
			Incarnation: "1",
			Address:     listener.Addr().String(),
			Kind:        cataloger.EngineUpstream,
			State:       cataloger.UpstreamLive,
		}},
	}})
	assert.NilError(b, err)
	var reports atomic.Int64
	p := poller.New(poller.Settings{
		Interval:      10 * time.Millisecond,
		Catalog:       func() *cataloger.Catalog { return catalog },
		Observe:       func(estimator.Report) { reports.Add(1) },
		OnUnreachable: func(cataloger.Upstream) {},
		Wake:          func() {},
		Calls:         dispatcher.New(dispatcher.Settings{}),
		Log:           zap.NewNop(),
	})
	assert.NilError(b, p.Start(context.Background(), nil))
	b.Cleanup(func() { assert.NilError(b, p.Stop(time.Now().Add(time.Minute))) })
	for b.Loop() {
		for target := reports.Load() + 1; reports.Load() < target; {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(meter.Sent()+meter.Received())/float64(reports.Load()), "bytes/report")
}

type serveLoop struct{ server *http.Server }

func (s serveLoop) run(listener net.Listener) { _ = s.server.Serve(listener) }
