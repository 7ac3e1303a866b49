package cmd

import (
	"context"
	"os"
	"time"

	"burdocklink/assembler"
	"burdocklink/checker"
	"burdocklink/platform"
)

// settingsFile is the platform's settings file of a process.
var settingsFile = checker.Definition{
	Name:  "settings",
	Usage: "path of the platform's settings file; the one that the platform names where none is given",
}

func entryNodeCommand() command {
	return command{
		name:     "entry-node",
		usage:    "run an entry on the platform",
		settings: []checker.Definition{settingsFile, checkSettings},
		run: func(call *invocation) error {
			return runNode(call, func(settings assembler.NodeSettings) (*assembler.Node, error) {
				return assembler.NewEntryNode(settings), nil
			})
		},
	}
}

func controlNodeCommand() command {
	return command{
		name:     "control-node",
		usage:    "run a control member on the platform",
		settings: []checker.Definition{settingsFile, checkSettings},
		run: func(call *invocation) error {
			return runNode(call, assembler.NewControlNode)
		},
	}
}

// stopMargin is left between the end of the work in flight and the end of the
// platform's patience with a process that stops.
const stopMargin = 300 * time.Millisecond

// leastDrain is the shortest time for work in flight.
const leastDrain = time.Second

func runNode(call *invocation, assemble func(assembler.NodeSettings) (*assembler.Node, error)) error {
	path := call.settings.Text(settingsFile.Name)
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	read, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if call.settings.Switch(checkSettings.Name) {
		return nil
	}
	ctx, fail := context.WithCancelCause(call.ctx)
	call.ctx = ctx
	node, err := assemble(assembler.NodeSettings{
		Settings: read,
		Fatal:    func(err error) { fail(err) },
		Log:      call.log,
	})
	if err != nil {
		return err
	}
	watcher := newSettingsWatcher(path, read, node.Reload, call.log)
	services := append(node.Services, watcher)
	if err := serve(call, max(leastDrain, read.Bounds.Grace-stopMargin), services); err != nil {
		return err
	}
	return context.Cause(ctx)
}
