package responder_test

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/certifier"
	"burdocklink/claimer"
	"burdocklink/classifier"
	"burdocklink/conductor"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/responder"
	"burdocklink/surveyor"
)

// testTimeout is a generous timeout for all waits of these tests.
const testTimeout = 30 * time.Second

type notOperatorError struct{}

func (notOperatorError) Error() string { return "not an operator" }

// newGroup starts a group of one member that keeps its state in memory.
func newGroup(t *testing.T) *conductor.Conductor {
	t.Helper()
	member, err := conductor.New(conductor.Config{
		Name:    "c-1",
		Address: "127.0.0.1:1",
		Codec: conductor.Codec{
			EncodeCommand: encoder.EncodeCommand,
			DecodeCommand: encoder.DecodeCommand,
			EncodeState:   encoder.EncodeStateSnapshot,
			DecodeState:   encoder.DecodeState,
		},
	})
	assert.NilError(t, err)
	assert.NilError(t, member.Start(context.Background(), nil))
	t.Cleanup(func() { assert.NilError(t, member.Stop(time.Now().Add(testTimeout))) })
	return member
}

// serve starts a responder that accepts every call as operator's; none if it is empty.
func serve(t *testing.T, transport credentials.TransportCredentials, operator string) *responder.Responder {
	t.Helper()
	return serveWith(t, responder.Settings{
		Credentials: transport,
		Operator: func(context.Context) (string, error) {
			if operator == "" {
				return "", notOperatorError{}
			}
			return operator, nil
		},
	})
}

// serveWith starts a responder after setting the fields that all tests share.
func serveWith(t *testing.T, settings responder.Settings) *responder.Responder {
	t.Helper()
	settings.Listen, settings.Group = "127.0.0.1:0", newGroup(t)
	settings.Meter, settings.Log = linker.NewMeter(metrics.NewRegistry()), zap.NewNop()
	r := responder.New(settings)
	assert.NilError(t, r.Start(context.Background(), nil))
	t.Cleanup(func() { assert.NilError(t, r.Stop(time.Now().Add(testTimeout))) })
	return r
}

func dial(t *testing.T, r *responder.Responder, transport credentials.TransportCredentials) *grpc.ClientConn {
	t.Helper()
	links := linker.New(transport, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	link, err := links.Connect(r.Address())
	assert.NilError(t, err)
	return link
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func encode(t *testing.T, command applier.Command) *wire.ProposeRequest {
	t.Helper()
	data, err := encoder.EncodeCommand(command)
	assert.NilError(t, err)
	return &wire.ProposeRequest{Command: data}
}

func setClass(name string) []cataloger.Change {
	class := classifier.Class{Name: name, Target: classifier.Target{Whole: time.Second}}
	return []cataloger.Change{cataloger.PutClass{Class: class}}
}

func TestEntriesMayProposeClaimsOnly(t *testing.T) {
	client := wire.NewControlClient(dial(t, serve(t, nil, ""), nil))
	cases := map[string]struct {
		request *wire.ProposeRequest
		want    codes.Code
	}{
		"claim": {
			request: encode(t, applier.Claim{Event: claimer.Open{
				Key:      claimer.Key{Subscriber: "s", Name: "k"},
				Attempt:  "a",
				Deadline: time.Now().Add(time.Minute),
			}}),
			want: codes.OK,
		},
		"change":    {request: encode(t, applier.Change{Operator: "eve", RequestID: "1"}), want: codes.PermissionDenied},
		"watch":     {request: encode(t, applier.Watch{}), want: codes.PermissionDenied},
		"malformed": {request: &wire.ProposeRequest{Command: []byte{0xff}}, want: codes.InvalidArgument},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := client.Propose(testContext(t), test.request)
			assert.Equal(t, status.Code(err), test.want)
		})
	}
}

func TestChangeIsRecordedUnderOperatorOfKey(t *testing.T) {
	client := wire.NewOperatorClient(dial(t, serve(t, nil, "anna"), nil))
	change := applier.Change{Operator: "eve", RequestID: "1", Changes: setClass("waiting")}

	_, err := client.Change(testContext(t), encode(t, change))
	assert.NilError(t, err)
	history, err := client.History(testContext(t), &wire.HistoryRequest{Most: 10})
	assert.NilError(t, err)

	assert.Equal(t, len(history.GetRecords()), 1)
	assert.Equal(t, history.GetRecords()[0].GetOperator(), "anna")
	assert.DeepEqual(t, history.GetRecords()[0].GetChanges(), []string{"set class waiting"})
}

func TestOperatorCallsNeedAuthentication(t *testing.T) {
	client := wire.NewOperatorClient(dial(t, serve(t, nil, ""), nil))
	calls := map[string]func() error{
		"change": func() error {
			_, err := client.Change(testContext(t), encode(t, applier.Change{RequestID: "1", Changes: setClass("c")}))
			return err
		},
		"status": func() error {
			_, err := client.Status(testContext(t), &wire.StatusRequest{})
			return err
		},
		"history": func() error {
			_, err := client.History(testContext(t), &wire.HistoryRequest{Most: 1})
			return err
		},
		"member": func() error {
			_, err := client.ChangeMember(testContext(t), &wire.MemberRequest{Action: "add"})
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, status.Code(call()), codes.Unauthenticated)
		})
	}
}

func TestUnknownMembershipActionIsRefused(t *testing.T) {
	client := wire.NewOperatorClient(dial(t, serve(t, nil, "anna"), nil))

	reply, err := client.ChangeMember(testContext(t), &wire.MemberRequest{Action: "anoint"})

	assert.NilError(t, err)
	assert.Equal(t, reply.GetRefused(), "unknown action anoint")
}

func TestControlCallsNeedCertificate(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, certifier.WriteCertificates(folder, []string{"c", "e"}, nil, time.Now()))
	r := serve(t, openCertificate(t, folder, "c").Server(), "anna")
	cases := map[string]struct {
		client string
		want   codes.Code
	}{
		"with a certificate":    {client: "e", want: codes.OK},
		"without a certificate": {client: "", want: codes.Unauthenticated},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			link := dial(t, r, openCertificate(t, folder, test.client).Client())
			claim := encode(t, applier.Claim{Event: claimer.Expire{}})
			_, err := wire.NewControlClient(link).Propose(testContext(t), claim)
			assert.Equal(t, status.Code(err), test.want)
			_, err = wire.NewOperatorClient(link).Status(testContext(t), &wire.StatusRequest{})
			assert.NilError(t, err)
		})
	}
}

func openCertificate(t *testing.T, folder, name string) *certifier.Certifier {
	t.Helper()
	files := certifier.Files{Authority: filepath.Join(folder, "authority.pem")}
	if name != "" {
		files.Certificate = filepath.Join(folder, name+".pem")
		files.Key = filepath.Join(folder, name+"-key.pem")
	}
	opened, err := certifier.New(files, zap.NewNop())
	assert.NilError(t, err)
	return opened
}

func TestFollowerReceivesSnapshotDeltasAndConfirmations(t *testing.T) {
	r := serve(t, nil, "anna")
	link := dial(t, r, nil)
	stream, err := wire.NewControlClient(link).Follow(testContext(t))
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&wire.FollowRequest{Entry: "e-1", Number: 1}))
	_, err = wire.NewOperatorClient(link).Change(testContext(t), encode(t, applier.Change{RequestID: "1", Changes: setClass("waiting")}))
	assert.NilError(t, err)

	// The change arrives in the snapshot or as a delta, depending on timing.
	changed, confirmed := false, false
	for !changed || !confirmed {
		update, err := stream.Recv()
		assert.NilError(t, err)
		switch update := update.GetUpdate().(type) {
		case *wire.FollowReply_Snapshot, *wire.FollowReply_Delta:
			changed = true
		case *wire.FollowReply_Heartbeat:
			confirmed = confirmed || update.Heartbeat.GetEcho() == 1 && update.Heartbeat.GetRevision() == 1
		}
	}
}

func TestFollowerReceivesPlatformList(t *testing.T) {
	listed := surveyor.NewListFeed()
	listed.Replace(map[string]surveyor.Upstream{"u-1": {Name: "u-1", State: surveyor.Live}}, time.Now())
	r := serveWith(t, responder.Settings{PlatformList: listed})
	stream, err := wire.NewControlClient(dial(t, r, nil)).Follow(testContext(t))
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&wire.FollowRequest{Entry: "e-1", Number: 1}))
	var listings []surveyor.Changes
	for aged := false; !aged; {
		reply, err := stream.Recv()
		assert.NilError(t, err)
		if listing := reply.GetListing(); listing != nil {
			listings = append(listings, encoder.DecodeListing(listing))
			listed.Replace(map[string]surveyor.Upstream{"u-1": {Name: "u-1", State: surveyor.Leaving}}, time.Now())
		}
		aged = len(listings) == 2 && reply.GetHeartbeat() != nil && reply.GetHeartbeat().GetListAgeMs() >= 0
	}
	assert.Assert(t, listings[0].Full)
	assert.Equal(t, listings[0].Upstreams[0].State, surveyor.Live)
	assert.Assert(t, !listings[1].Full)
	assert.Equal(t, listings[1].Upstreams[0].State, surveyor.Leaving)
}

func TestListenOnTakenAddressReturnsListenError(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, taken.Close()) }()
	r := responder.New(responder.Settings{Listen: taken.Addr().String(), Group: newGroup(t)})

	assert.ErrorType(t, r.Start(context.Background(), nil), &linker.ListenError{})
}
