// Package assembler wires the services of a process: those of a control member and
// those of an entry. It is the only place that knows the dependencies between
// services.
package assembler

import (
	"go.uber.org/zap"

	"burdocklink/authenticator"
	"burdocklink/certifier"
	"burdocklink/conductor"
	"burdocklink/linker"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/prober"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/responder"
	"burdocklink/supervisor"
	"burdocklink/throttler"
	"burdocklink/watcher"
)

// ControlSettings are the validated settings of a control member.
type ControlSettings struct {
	Member conductor.Member
	// Listen is the IP address and port of the gRPC service.
	Listen string
	// HealthListen is the IP address and port of health and metrics.
	HealthListen string
	// Folder is the data folder. If it is empty, the state is kept in memory.
	Folder string
	// Peers are the initial members, including this one.
	Peers []conductor.Member
	// Platform and Store are base URLs.
	Platform string
	Store    string
	Limits   orderer.StoreLimits
	// Certificates is nil if connections are not encrypted.
	Certificates *certifier.Certifier
	// Keys authenticates operators' calls.
	Keys *authenticator.Authenticator
	// Fatal is called once if the member fails and can't continue.
	Fatal func(error)
	Log   *zap.Logger
}

// ControlMember holds the services of a control member that has not started yet.
type ControlMember struct {
	Meter     *linker.Meter
	Conductor *conductor.Conductor
	Responder *responder.Responder
	// Services are in start order.
	Services []registrar.Service
}

// NewControl returns a control member. The error is that of conductor.New.
func NewControl(settings ControlSettings) (*ControlMember, error) {
	metrics := reporter.New(reporter.Settings{})
	meter := linker.NewMeter(metrics.Registry())
	member, err := newMember(settings, metrics)
	if err != nil {
		return nil, err
	}
	server := responder.New(responder.Settings{
		Listen:      settings.Listen,
		Credentials: serverCredentials(settings.Certificates),
		Operator:    operatorLookup(settings.Keys),
		Group:       member,
		Limits: throttler.New(throttler.Settings{
			Leadership: func() (uint64, bool) { state := member.Status(); return state.Term, state.Leading },
			Registry:   metrics.Registry(),
			Log:        settings.Log,
		}),
		Meter: meter,
		Log:   settings.Log,
	})
	listWatcher := watcher.New(watcher.Settings{
		Platform: settings.Platform,
		Store:    settings.Store,
		Group:    member,
		Log:      settings.Log,
	})
	supervision := supervisor.New(supervisor.Config{
		Proposer: member,
		Planner:  planner{},
		Demands:  server.Demands,
		Reports:  listWatcher.Reports,
		Limits:   settings.Limits,
		Log:      settings.Log,
	})
	health := prober.New(prober.Settings{
		Listen:   settings.HealthListen,
		Ready:    member.CheckLeader,
		Reporter: metrics,
		Log:      settings.Log,
	})
	return &ControlMember{
		Meter:     meter,
		Conductor: member,
		Responder: server,
		// The member stops before its server, so that it can transfer leadership and
		// end its streams.
		Services: withCertificates(settings.Certificates,
			settings.Keys, server, member, listWatcher, supervision, health),
	}, nil
}

func newMember(settings ControlSettings, metrics *reporter.Reporter) (*conductor.Conductor, error) {
	return conductor.New(conductor.Config{
		Name:        settings.Member.Name,
		Address:     settings.Member.Address,
		Folder:      settings.Folder,
		Peers:       settings.Peers,
		Credentials: clientCredentials(settings.Certificates),
		Codec:       responder.Codec(),
		Metrics:     metrics.Registry(),
		Log:         settings.Log,
		Fatal:       settings.Fatal,
	})
}

// planner is the placement policy in force.
type planner struct{}

// Plan returns the moves that are due now.
func (planner) Plan(input placer.Input) placer.Output { return placer.Plan(input) }
