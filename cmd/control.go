package cmd

import (
	"context"

	"burdocklink/checker"
	"burdocklink/conductor"
	"burdocklink/encoder"
	"burdocklink/orderer"
	"burdocklink/registrar"
	"burdocklink/responder"
	"burdocklink/watcher"
)

// Settings of a control member.
var (
	memberName = checker.Definition{
		Name:  "name",
		Usage: "this member's name, unique among all that ever were members",
	}
	controlListen = checker.Definition{
		Name:    "listen",
		Default: "127.0.0.1:7400",
		Usage:   "IP address and port for members, entries and operators",
	}
	controlAdvertise = checker.Definition{
		Name:  "advertise",
		Usage: "address at which others reach this member; the listen address where none is given",
	}
	dataFolder = checker.Definition{
		Name:  "data",
		Usage: "data folder on a disk; without one the member is alone and keeps its state in memory",
	}
	memberList = checker.Definition{
		Name:  "members",
		Usage: "the first members as NAME=ADDRESS pairs, separated by commas; this one alone where none are given",
	}
	platformURL = checker.Definition{
		Name:  "platform",
		Usage: "base URL of the platform's list of VMs",
	}
	storeURL = checker.Definition{
		Name:  "store",
		Usage: "base URL of the weight store",
	}
	storeRate = checker.Definition{
		Name:    "store-loads-per-second",
		Default: "1",
		Usage:   "loads that the weight store allows each second",
	}
	storeAtOnce = checker.Definition{
		Name:    "store-loads-at-once",
		Default: "4",
		Usage:   "loads that the weight store serves at full speed",
	}
	storeTransit = checker.Definition{
		Name:    "store-adapters-in-transit",
		Default: "32",
		Usage:   "adapters that load quickly at once across all upstreams",
	}
)

// bounds of the counts above.
const mostLoads = 100000

func controlCommand() command {
	return command{
		name:  "control",
		usage: "run a control member",
		settings: append(tlsSettings(), memberName, controlListen, controlAdvertise, dataFolder,
			memberList, platformURL, storeURL, storeRate, storeAtOnce, storeTransit,
			drainTime, checkSettings),
		run: runControl,
	}
}

// controlSettings are the checked settings of a control member.
type controlSettings struct {
	member   conductor.Member
	listen   string
	folder   string
	peers    []conductor.Member
	platform string
	store    string
	limits   orderer.StoreLimits
}

func readControlSettings(settings *checker.Reader) controlSettings {
	read := controlSettings{
		listen:   settings.Address(controlListen.Name),
		folder:   settings.Text(dataFolder.Name),
		platform: settings.Required(platformURL.Name),
		store:    settings.Required(storeURL.Name),
		limits: orderer.StoreLimits{
			LoadsPerSecond:    settings.Rate(storeRate.Name),
			LoadsAtOnce:       settings.Count(storeAtOnce.Name, 1, mostLoads),
			AdaptersInTransit: settings.Count(storeTransit.Name, 1, mostLoads),
		},
	}
	read.member = conductor.Member{
		Name:    settings.Required(memberName.Name),
		Address: read.listen,
		Role:    conductor.Voter,
	}
	if settings.Text(controlAdvertise.Name) != "" {
		read.member.Address = settings.Address(controlAdvertise.Name)
	}
	for _, pair := range settings.Pairs(memberList.Name) {
		read.peers = append(read.peers, conductor.Member{
			Name:    pair.Name,
			Address: pair.Value,
			Role:    conductor.Voter,
		})
	}
	if len(read.peers) == 0 {
		read.peers = []conductor.Member{read.member}
	}
	if len(read.peers) > 1 && read.folder == "" {
		settings.Fault(dataFolder.Name, "must be given where the group has more than one member")
	}
	return read
}

func runControl(call *invocation) error {
	settings := readControlSettings(call.settings)
	drain := call.settings.Duration(drainTime.Name)
	if err := call.settings.Err(); err != nil {
		return err
	}
	if call.settings.Switch(checkSettings.Name) {
		return nil
	}
	services, err := controlServices(call, settings)
	if err != nil {
		return err
	}
	return serve(call, drain, services)
}

// controlServices lists the services of a control member in start order.
func controlServices(call *invocation, settings controlSettings) ([]registrar.Service, error) {
	ctx, fail := context.WithCancelCause(call.ctx)
	call.ctx = ctx
	member, err := conductor.New(conductor.Config{
		Name:    settings.member.Name,
		Address: settings.member.Address,
		Folder:  settings.folder,
		Peers:   settings.peers,
		Codec: conductor.Codec{
			EncodeCommand: encoder.EncodeCommand,
			DecodeCommand: encoder.DecodeCommand,
			EncodeState:   encoder.EncodeState,
			DecodeState:   encoder.DecodeState,
		},
		Log:   call.log,
		Fatal: func(err error) { fail(err) },
	})
	if err != nil {
		return nil, err
	}
	answers := responder.New(responder.Settings{
		Listen:   settings.listen,
		Operator: func(context.Context) (string, error) { return "operator", nil },
		Group:    member,
		Log:      call.log,
	})
	lists := watcher.New(watcher.Settings{
		Platform: settings.platform,
		Store:    settings.store,
		Limits:   settings.limits,
		Group:    member,
		Log:      call.log,
	})
	return []registrar.Service{member, answers, lists}, nil
}
