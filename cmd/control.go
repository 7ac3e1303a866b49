package cmd

import (
	"context"

	"burdocklink/assembler"
	"burdocklink/checker"
	"burdocklink/conductor"
	"burdocklink/orderer"
)

// Settings of a control member.
var (
	memberName = checker.Definition{
		Name:  "name",
		Usage: "this member's name, unique among all current and former members",
	}
	controlListen = checker.Definition{
		Name:    "listen",
		Default: "127.0.0.1:7400",
		Usage:   "IP address and port for members, entries and operators",
	}
	controlAdvertise = checker.Definition{
		Name:  "advertise",
		Usage: "address at which others reach this member; defaults to the listen address",
	}
	healthListen = checker.Definition{
		Name:    "health-listen",
		Default: "127.0.0.1:7401",
		Usage:   "IP address and port for health, readiness and metrics",
	}
	dataFolder = checker.Definition{
		Name:  "data",
		Usage: "data folder on a disk; without one the member runs alone and keeps its state in memory",
	}
	memberList = checker.Definition{
		Name:  "members",
		Usage: "the initial members as NAME=ADDRESS pairs, separated by commas; defaults to this member alone",
	}
	platformURL = checker.Definition{
		Name:  "platform",
		Usage: "base URL of the platform's list of VMs",
	}
	storeURL = checker.Definition{
		Name:  "store",
		Usage: "base URL of the weight store",
	}
	storeLoadsPerSecond = checker.Definition{
		Name:    "store-loads-per-second",
		Default: "1",
		Usage:   "loads that the weight store allows each second",
	}
	storeLoadsAtOnce = checker.Definition{
		Name:    "store-loads-at-once",
		Default: "4",
		Usage:   "loads that the weight store serves at full speed",
	}
	storeAdaptersInTransit = checker.Definition{
		Name:    "store-adapters-in-transit",
		Default: "32",
		Usage:   "adapters that load at full speed at once across all upstreams",
	}
)

const maxLoads = 100000

func controlCommand() command {
	return command{
		name:  "control",
		usage: "run a control member",
		settings: append(tlsSettings(), memberName, controlListen, controlAdvertise, healthListen, dataFolder,
			keysFile, memberList, platformURL, storeURL, storeLoadsPerSecond, storeLoadsAtOnce, storeAdaptersInTransit,
			drainTime, checkSettings),
		run: runControl,
	}
}

// readControlSettings reads the settings of a control member. Faults are
// reported by settings.Err.
func readControlSettings(settings *checker.Reader) assembler.ControlSettings {
	control := assembler.ControlSettings{
		Listen:       settings.Address(controlListen.Name),
		HealthListen: settings.Address(healthListen.Name),
		Folder:       settings.Text(dataFolder.Name),
		Platform:     settings.Required(platformURL.Name),
		Store:        settings.Required(storeURL.Name),
		Limits: orderer.StoreLimits{
			LoadsPerSecond:    settings.Rate(storeLoadsPerSecond.Name),
			LoadsAtOnce:       settings.Count(storeLoadsAtOnce.Name, 1, maxLoads),
			AdaptersInTransit: settings.Count(storeAdaptersInTransit.Name, 1, maxLoads),
		},
	}
	control.Member = conductor.Member{
		Name:    settings.Required(memberName.Name),
		Address: control.Listen,
		Role:    conductor.Voter,
	}
	if settings.Text(controlAdvertise.Name) != "" {
		control.Member.Address = settings.Address(controlAdvertise.Name)
	}
	for _, pair := range settings.Pairs(memberList.Name) {
		control.Peers = append(control.Peers, conductor.Member{
			Name:    pair.Name,
			Address: pair.Value,
			Role:    conductor.Voter,
		})
	}
	if len(control.Peers) == 0 {
		control.Peers = []conductor.Member{control.Member}
	}
	if len(control.Peers) > 1 && control.Folder == "" {
		settings.AddFault(dataFolder.Name, "must be given where the group has more than one member")
	}
	return control
}

func runControl(call *invocation) error {
	settings := readControlSettings(call.settings)
	keys := readKeys(call)
	settings.Certificates = readCertificates(call)
	drain := call.settings.Duration(drainTime.Name)
	if err := call.settings.Err(); err != nil {
		return err
	}
	if call.settings.Switch(checkSettings.Name) {
		return nil
	}
	ctx, fail := context.WithCancelCause(call.ctx)
	call.ctx = ctx
	settings.Fatal = func(err error) { fail(err) }
	settings.Log = call.log
	settings.Keys = keys
	member, err := assembler.NewControl(settings)
	if err != nil {
		return err
	}
	if err := serve(call, drain, member.Services); err != nil {
		return err
	}
	return context.Cause(ctx)
}
