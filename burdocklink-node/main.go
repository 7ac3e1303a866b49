// Command burdocklink-node runs an entry or a control member on the users'
// platform. It holds nothing else, so that it starts fast on small VMs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/integrii/flaggy"
	"go.uber.org/zap/zapcore"

	"burdocklink/launcher"
	"burdocklink/platform"
	"burdocklink/provisioner"
)

// Exit codes of the program, the same as those of burdocklink.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// role is one subcommand.
type role struct {
	command  *flaggy.Subcommand
	assemble func(provisioner.Settings) (*provisioner.Node, error)
	// collectAt is by how much of its live size the heap may grow before it is
	// collected, in percent.
	collectAt int
}

const (
	// entryCollectAt is the runtime's own. There are many entries, and their
	// memory has a price.
	entryCollectAt = 100
	// controlCollectAt spares the processor of control VMs: a leader of a large
	// fleet lives on a few megabytes, and would collect several times a second.
	controlCollectAt = 400
	// softMemory is the memory from which on the heap is collected sooner, in
	// bytes: below that of the smallest VMs.
	softMemory = 120 << 20
)

func run(arguments []string) int {
	path, level, check := os.Getenv(platform.SettingsVariable), "info", false
	parser := flaggy.NewParser("burdocklink-node")
	parser.Description = "Runs a part of burdocklink on the users' platform."
	parser.ShowVersionWithVersionFlag = false
	roles := []role{
		{command: subcommand("entry", "run an entry, which takes callers' requests"), assemble: provisioner.NewEntryNode, collectAt: entryCollectAt},
		{command: subcommand("control", "run a control member"), assemble: provisioner.NewControlNode, collectAt: controlCollectAt},
	}
	for _, one := range roles {
		one.command.String(&path, "", "settings", "path of the platform's settings file ["+platform.SettingsVariable+"]")
		one.command.String(&level, "", "log-level", "least level of log lines: debug, info, warn or error")
		one.command.Bool(&check, "", "check-settings", "check the settings and exit")
		parser.AttachSubcommand(one.command, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return report(err, exitUsage)
	}
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return report(err, exitUsage)
	}
	for _, one := range roles {
		if one.command.Used {
			debug.SetGCPercent(one.collectAt)
			debug.SetMemoryLimit(softMemory)
			return start(launcher.Node{Path: path, Assemble: one.assemble, CheckOnly: check}, least)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func subcommand(name, usage string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = usage
	return command
}

// start runs a role with its log on standard output.
func start(node launcher.Node, least zapcore.Level) int {
	lines := launcher.NewWriter(os.Stdout)
	defer lines.Close()
	err := launcher.RunNode(context.Background(), node, launcher.NewLogger(least, lines))
	var settings *platform.SettingsError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &settings):
		return report(err, exitUsage)
	default:
		return report(err, exitFailed)
	}
}

func report(err error, code int) int {
	_, _ = fmt.Fprintln(os.Stderr, "burdocklink-node: "+err.Error())
	return code
}
