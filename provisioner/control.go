package provisioner

import (
	"context"
	"net"
	"strconv"
	"time"

	"burdocklink/accountant"
	"burdocklink/conductor"
	"burdocklink/configurator"
	"burdocklink/dispatcher"
	"burdocklink/historian"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/mover"
	"burdocklink/placer"
	"burdocklink/platform"
	"burdocklink/prober"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/responder"
	"burdocklink/router"
	"burdocklink/surveyor"
	"burdocklink/throttler"
)

// NewControlNode returns a control member for the platform. The error is an
// *AddressError or that of conductor.New.
func NewControlNode(settings Settings) (*Node, error) {
	metrics := reporter.New(reporter.Settings{})
	member, err := newMember(settings, metrics)
	if err != nil {
		return nil, err
	}
	server, moves := newLeaderServices(settings, member, metrics)
	_, operatorsPort, err := net.SplitHostPort(settings.OperatorAddress)
	if err != nil {
		return nil, &AddressError{Address: settings.OperatorAddress, Cause: err}
	}
	operators := configurator.New(configurator.Settings{
		Listen:    settings.OperatorAddress,
		Group:     member,
		Codec:     platform.OperatorCodec(),
		Operators: func(name string) string { return withPort(name, operatorsPort) },
		Log:       settings.Log,
	})
	health := prober.New(prober.Settings{
		Listen:   settings.MetricsAddress,
		Ready:    member.CheckLeader,
		Reporter: metrics,
		Log:      settings.Log,
	})
	return &Node{
		Services: []registrar.Service{server, member, moves, operators, health},
		Reload:   func(changed platform.Settings) { member.AddPeers(membersAt(changed.SeedLinks())) },
	}, nil
}

func newMember(settings Settings, metrics *reporter.Reporter) (*conductor.Conductor, error) {
	return conductor.New(conductor.Config{
		Name:      settings.LinkAddress,
		Address:   settings.LinkAddress,
		Folder:    settings.Folder,
		Peers:     membersAt(settings.SeedLinks()),
		Voters:    votersTolerating(settings.ToleratedLosses),
		Founders:  settings.SeedLinks(),
		JoinOnly:  !settings.Bootstrap,
		LostAfter: lostAfter,
		Timing: conductor.Timing{
			Heartbeat:   heartbeat,
			ElectionMin: electionMin,
			ElectionMax: electionMax,
			Lease:       leaderLease,
		},
		Codec:   responder.Codec(),
		Metrics: metrics.Registry(),
		Log:     settings.Log,
		Fatal:   settings.Fatal,
	})
}

// newLeaderServices returns the server for entries and the service that gives orders
// to engines while the member leads. Each refers to the other.
func newLeaderServices(settings Settings, member *conductor.Conductor, metrics *reporter.Reporter) (*responder.Responder, *mover.Mover) {
	calls := dispatcher.New(dispatcher.Settings{DialTimeout: dialTimeout})
	client := platform.NewClient(settings.List.Address, calls)
	listed := surveyor.NewListFeed()
	streams := historian.NewArchive()
	limits := throttler.New(throttler.Settings{
		Leadership: func() (uint64, bool) { state := member.Status(); return state.Term, state.Leading },
		Registry:   metrics.Registry(),
		Log:        settings.Log,
	})
	quotas := accountant.New(accountant.Settings{
		Leadership: func() (uint64, bool) { state := member.Status(); return state.Term, state.Leading },
		Bounds:     settings.Bounds.Quotas,
		Registry:   metrics.Registry(),
		Log:        settings.Log,
	})
	var server *responder.Responder
	moves := mover.New(mover.Settings{
		Holder:          settings.Node,
		Group:           member,
		Fetch:           client.FetchList,
		Engines:         client,
		Unpack:          decodeConfiguration,
		TakeDemand:      func() map[string]map[string]placer.Count { return server.TakeDemand() },
		Loads:           func() map[string]router.Load { return server.Loads() },
		PropagationTime: func() time.Duration { return server.PropagationTime() },
		Listed:          listed,
		Streams:         streams,
		Limits:          limits,
		OnConfiguration: func(configuration *matcher.Configuration) { quotas.Configure(time.Now(), configuration) },
		Lease:           settings.Bounds.Lease,
		StoreWindow:     settings.Bounds.StoreWindow,
		StoreOverage:    settings.Bounds.StoreOverage,
		Metrics:         metrics.Registry(),
		Log:             settings.Log,
	})
	server = responder.New(responder.Settings{
		Listen:            settings.LinkAddress,
		Operator:          refuseOperator,
		Group:             member,
		Holdings:          moves,
		Limits:            limits,
		Quotas:            quotas,
		PlatformList:      listed,
		Streams:           streams,
		HeartbeatInterval: loadReportInterval,
		Meter:             linker.NewMeter(metrics.Registry()),
		Log:               settings.Log,
	})
	return server, moves
}

// Timing of the control group. A restarted member waits for at least electionMin,
// since it may have acknowledged a leader's lease before the restart. Callers wait
// as long if all members were lost at once.
const (
	heartbeat   = 100 * time.Millisecond
	electionMin = 500 * time.Millisecond
	electionMax = 900 * time.Millisecond
	leaderLease = 400 * time.Millisecond
)

// lostAfter is how long a voter may be silent before a caught-up learner replaces
// it. A restart of the voter's process takes less.
const lostAfter = 2 * time.Second

// refuseOperator refuses calls to the product's own operator API: operators have no
// keys for it on the platform.
func refuseOperator(context.Context) (string, error) { return "", &OperatorRefusedError{} }

// OperatorRefusedError reports that the product's own operator API is not available.
type OperatorRefusedError struct{}

// Error describes the refusal.
func (e *OperatorRefusedError) Error() string { return "operators use the platform's interface" }

// AddressError reports an unusable address in the settings.
type AddressError struct {
	Address string
	Cause   error
}

// Error describes the fault.
func (e *AddressError) Error() string {
	return "address " + strconv.Quote(e.Address) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }
