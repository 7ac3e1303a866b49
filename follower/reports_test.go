package follower

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/placer"
)

// reader is a control server that decodes the demand reported on a stream.
type reader struct {
	wire.UnimplementedControlServer
	read chan error
}

// reportsRead is the number of reports read from a stream.
const reportsRead = 20

func (r *reader) Follow(stream grpc.BidiStreamingServer[wire.FollowRequest, wire.FollowReply]) error {
	demand := encoder.NewDemandDecoder()
	for range reportsRead {
		report, err := stream.Recv()
		if err == nil {
			_, err = demand.Decode(report)
		}
		if err != nil {
			r.read <- err
			return err
		}
	}
	r.read <- nil
	return nil
}

func TestDemandIsDecodableAfterADelayedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	control := &reader{read: make(chan error, 10)}
	server := grpc.NewServer()
	wire.RegisterControlServer(server, control)
	t.Cleanup(server.Stop)
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	arrivals := uint64(0)
	f := New(Settings{
		Entry: "e", Control: []string{listener.Addr().String()}, Links: links, Log: zap.NewNop(),
		ReportInterval: 10 * time.Millisecond, DemandInterval: 10 * time.Millisecond,
		Demand: func() placer.Demand {
			arrivals++
			counts := map[string]map[string]placer.Count{}
			for index := range arrivals {
				counts[strconv.FormatUint(index, 10)] = map[string]placer.Count{"c": {Arrivals: arrivals}}
			}
			return placer.Demand{Counts: counts}
		},
	})
	assert.NilError(t, f.Start(t.Context(), nil))
	defer func() { assert.NilError(t, f.Stop(time.Now().Add(time.Second))) }()
	time.Sleep(300 * time.Millisecond)
	go func() { _ = server.Serve(listener) }()
	select {
	case err := <-control.read:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("no reports")
	}
}
