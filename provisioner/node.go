// Package provisioner puts the services of a process on the users' platform
// together: an entry's and a control member's. It is the one place that knows
// which part needs which, and where the platform's adapter is used.
package provisioner

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/broadcaster"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/configurator"
	"burdocklink/dispatcher"
	"burdocklink/follower"
	"burdocklink/forwarder"
	"burdocklink/linker"
	"burdocklink/mover"
	"burdocklink/placer"
	"burdocklink/platform"
	"burdocklink/prober"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/responder"
	"burdocklink/router"
	"burdocklink/seeker"
	"burdocklink/surveyor"
)

// Settings are what a process on the platform runs with.
type Settings struct {
	platform.Settings
	// Fatal is called once when a control member can't go on.
	Fatal func(error)
	Log   *zap.Logger
}

// Node is a process on the platform that has not started.
type Node struct {
	// Services are in start order.
	Services []registrar.Service
	// Reload takes in settings that have changed.
	Reload func(platform.Settings)
}

const (
	// lingerTime is how long callers' connections are accepted after readiness
	// failed: the platform takes a process out after two questions, one a
	// second.
	lingerTime = 2600 * time.Millisecond
	// dialTime is the longest wait for a connection to an upstream. Neighbours
	// answer within milliseconds; a lost packet is sent again after a second.
	dialTime = 1500 * time.Millisecond
)

// links returns the members that are reached at addresses. A member's name is
// the address of its links.
func links(addresses []string) []conductor.Member {
	var members []conductor.Member
	for _, address := range addresses {
		members = append(members, conductor.Member{Name: address, Address: address, Role: conductor.Voter})
	}
	return members
}

// votersFor is how many voters bear a number of losses.
func votersFor(losses int) int { return 2*max(1, losses) + 1 }

// withPort returns the address with another port.
func withPort(address string, port string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}

// NewControlNode puts a control member on the platform together.
func NewControlNode(settings Settings) (*Node, error) {
	metrics := reporter.New(reporter.Settings{})
	member, err := conductor.New(conductor.Config{
		Name:      settings.Links,
		Address:   settings.Links,
		Folder:    settings.Folder,
		Peers:     links(settings.SeedLinks()),
		Voters:    votersFor(settings.Losses),
		Joins:     !settings.First,
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
	if err != nil {
		return nil, err
	}
	calls := dispatcher.New(dispatcher.Settings{Dial: dialTime})
	client := platform.NewClient(settings.List.Address, calls)
	var answers *responder.Responder
	moves := mover.New(mover.Settings{
		Holder:       settings.Node,
		Group:        member,
		Fetch:        client.FetchList,
		Engines:      client,
		Unpack:       unpack,
		Demands:      func() map[string]placer.Demand { return answers.Demands() },
		Loads:        func() map[string]router.Load { return answers.Loads() },
		Lease:        settings.Bounds.Lease,
		StoreWindow:  settings.Bounds.StoreWindow,
		StoreOverage: settings.Bounds.StoreOverage,
		Log:          settings.Log,
	})
	answers = responder.New(responder.Settings{
		Listen:   settings.Links,
		Operator: noOperator,
		Group:    member,
		Holdings: moves,
		Pulse:    pulse,
		Meter:    linker.NewMeter(metrics.Registry()),
		Log:      settings.Log,
	})
	_, operatorsPort, err := net.SplitHostPort(settings.Operators)
	if err != nil {
		return nil, &AddressError{Address: settings.Operators, Cause: err}
	}
	operators := configurator.New(configurator.Settings{
		Listen:    settings.Operators,
		Group:     member,
		Codec:     platform.OperatorCodec(),
		Operators: func(name string) string { return withPort(name, operatorsPort) },
		Log:       settings.Log,
	})
	health := prober.New(prober.Settings{
		Listen:   settings.Metrics,
		Ready:    member.Led,
		Reporter: metrics,
		Log:      settings.Log,
	})
	return &Node{
		Services: []registrar.Service{answers, member, moves, operators, health},
		Reload:   func(changed platform.Settings) { member.Meet(links(changed.SeedLinks())) },
	}, nil
}

// Timing of the control group. A member that has just started waits for
// electionMin at least, since it may have vouched for a leader before; callers
// wait with it where all members were lost at once.
const (
	heartbeat   = 100 * time.Millisecond
	electionMin = 500 * time.Millisecond
	electionMax = 900 * time.Millisecond
	leaderLease = 400 * time.Millisecond
)

// lostAfter is how long a voter may be silent before a learner that has caught
// up takes its place: a restart of its process takes less.
const lostAfter = 2 * time.Second

// noOperator refuses the product's own operators' calls, which have no keys on
// the platform.
func noOperator(context.Context) (string, error) { return "", &NoOperatorsError{} }

// NoOperatorsError says that the product's own operators have no access.
type NoOperatorsError struct{}

// Error describes the refusal.
func (e *NoOperatorsError) Error() string { return "operators use the platform's interface" }

// AddressError says that an address of the settings can't be used.
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

// NewEntryNode puts an entry on the platform together.
func NewEntryNode(settings Settings) (*Node, error) {
	metrics := reporter.New(reporter.Settings{})
	routes := router.New(router.Settings{
		AvailabilityZone: settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(settings.Node),
		CrossZone:        crossZoneCost,
	})
	retries := newRetryShare(settings.Bounds)
	admission := admitter.New(routes, admitter.Settings{Retries: retries.budget()})
	retries.apply = admission.SetReserve
	calls := dispatcher.New(dispatcher.Settings{Dial: dialTime})
	client := platform.NewClient(settings.List.Address, calls)
	upstreams := surveyor.New(surveyor.Settings{
		Fetch:    client.FetchList,
		Interval: listInterval,
		Notify: func(catalog *cataloger.Catalog) {
			routes.Update(catalog)
			admission.Wake()
		},
		Log: settings.Log,
	})
	configuration := newConfigured(upstreams, settings.Log)
	peers := linker.New(nil, linker.NewMeter(metrics.Registry()))
	notes := broadcaster.New(broadcaster.Settings{
		Entry:  settings.Node,
		Listen: settings.Links,
		Links:  peers,
		Router: routes,
		Wake:   admission.Wake,
		Log:    settings.Log,
	})
	catalogs := follower.New(follower.Settings{
		Entry:            settings.Node,
		Incarnation:      uuid.NewString(),
		AvailabilityZone: settings.AvailabilityZone,
		Control:          settings.SeedLinks(),
		Links:            peers,
		Notify:           configuration.take,
		Demand:           admission.Demand,
		Loads:            routes.Loads,
		NotesAddress:     settings.Links,
		Peers: func(peers []string) {
			notes.Meet(peers)
			retries.share(len(peers) + 1)
		},
		Held:       upstreams.Tell,
		Tell:       pulse,
		TellDemand: tellDemand,
		Log:        settings.Log,
	})
	callers := forwarder.New(forwarder.Config{
		Listen:           settings.Callers,
		AvailabilityZone: settings.AvailabilityZone,
		Linger:           lingerTime,
		Codec:            platform.Codec(),
		Table:            configuration.table.Load,
		Ready:            func() error { return nil },
		Admitter:         admission,
		Holders: seeker.New(seeker.Settings{
			Links: peers, Leader: catalogs.Leader, Tell: upstreams.Tell, Log: settings.Log,
		}),
		Calls:    calls,
		Reporter: metrics,
		Log:      settings.Log,
	})
	health := prober.New(prober.Settings{
		Listen:    settings.Readiness,
		ReadyPath: platform.PathReady,
		Ready:     callers.Accepting,
		Reporter:  metrics,
		Log:       settings.Log,
	})
	return &Node{
		Services: []registrar.Service{health, admission, notes, upstreams, catalogs, callers},
		Reload:   func(changed platform.Settings) { catalogs.Meet(changed.SeedLinks()) },
	}, nil
}

const (
	// listInterval is the time between two readings of the platform's list. Two
	// of them and the list's lag pass before a leaving upstream may get no more
	// work.
	listInterval = 1200 * time.Millisecond
	// pulse is the time between two tellings of what is in flight, from an entry
	// to the leader and back. It is well below the time of a request.
	pulse = 250 * time.Millisecond
	// tellDemand is the time between two reports of demand.
	tellDemand = 500 * time.Millisecond
	// crossZoneCost is what a call to another availability zone costs beside
	// the wait for a first token: the way there and back.
	crossZoneCost = 4 * time.Millisecond
)
