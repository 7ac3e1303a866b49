// Command burdocklink-node runs an entry or a control member on the users'
// platform. It contains nothing else, so that it starts fast on small VMs.
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

// Exit codes, the same as those of burdocklink.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// role is a subcommand and how it is run.
type role struct {
	command  *flaggy.Subcommand
	assemble func(provisioner.Settings) (*provisioner.Node, error)
	// gcPercent is the heap growth that triggers a garbage collection, in percent
	// of the live heap.
	gcPercent int
}

const (
	// entryGCPercent is the runtime's default. Entries are many, and their
	// memory is paid for.
	entryGCPercent = 100
	// controlGCPercent saves CPU time on control VMs: the live heap of a leader
	// of a large fleet is a few megabytes, and at the default it would be
	// collected several times a second.
	controlGCPercent = 400
	// memoryLimitBytes is the highest soft memory limit of the runtime, above which it
	// collects sooner, and memoryLimitFraction the part of the VM's memory that it may be.
	memoryLimitBytes    = 120 << 20
	memoryLimitFraction = 0.75
)

func run(arguments []string) int {
	path, level, check := os.Getenv(platform.SettingsVariable), "info", false
	parser := flaggy.NewParser("burdocklink-node")
	parser.Description = "Runs a part of burdocklink on the users' platform."
	parser.ShowVersionWithVersionFlag = false
	roles := []role{
		{command: subcommand("entry", "run an entry, which takes callers' requests"), assemble: provisioner.NewEntryNode, gcPercent: entryGCPercent},
		{command: subcommand("control", "run a control member"), assemble: provisioner.NewControlNode, gcPercent: controlGCPercent},
	}
	for _, each := range roles {
		each.command.String(&path, "", "settings", "path of the platform's settings file ["+platform.SettingsVariable+"]")
		each.command.String(&level, "", "log-level", "minimum level of log lines: debug, info, warn or error")
		each.command.Bool(&check, "", "check-settings", "check the settings and exit")
		parser.AttachSubcommand(each.command, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return report(err, exitUsage)
	}
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return report(err, exitUsage)
	}
	for _, each := range roles {
		if each.command.Used {
			debug.SetGCPercent(each.gcPercent)
			return start(launcher.Node{Path: path, Assemble: each.limited, CheckOnly: check}, minLevel)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// limited assembles a node whose runtime keeps within the memory of the VM.
func (r role) limited(settings provisioner.Settings) (*provisioner.Node, error) {
	limit := int64(memoryLimitBytes)
	if settings.MemoryBytes > 0 {
		limit = min(limit, int64(memoryLimitFraction*float64(settings.MemoryBytes)))
	}
	debug.SetMemoryLimit(limit)
	return r.assemble(settings)
}

func subcommand(name, usage string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = usage
	return command
}

// start runs a role, which logs to standard output, and returns the exit code.
func start(node launcher.Node, minLevel zapcore.Level) int {
	writer := launcher.NewWriter(os.Stdout)
	defer writer.Close()
	err := launcher.RunNode(context.Background(), node, launcher.NewLogger(minLevel, writer))
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

// report prints the error and returns the code.
func report(err error, code int) int {
	_, _ = fmt.Fprintln(os.Stderr, "burdocklink-node: "+err.Error())
	return code
}
