package launcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdocklink/platform"
	"burdocklink/provisioner"
)

// Node is one role that a process can have on the platform.
type Node struct {
	// Path is that of the settings file.
	Path string
	// Assemble puts the services together.
	Assemble func(provisioner.Settings) (*provisioner.Node, error)
	// CheckOnly is true where the settings are checked and nothing is run.
	CheckOnly bool
}

const (
	// stopMargin is left between the end of the work in flight and the end of
	// the platform's patience with a process that stops.
	stopMargin = 300 * time.Millisecond
	// leastDrain is the shortest time for work in flight.
	leastDrain = time.Second
)

// RunNode runs a role until it is told to stop, or can't go on.
func RunNode(ctx context.Context, node Node, log *zap.Logger) error {
	read, err := platform.ReadSettings(node.Path)
	if err != nil {
		return err
	}
	if node.CheckOnly {
		return nil
	}
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	log.Info("starting", zap.String("node", read.Node), zap.String("role", read.Role),
		zap.String("availability-zone", read.AvailabilityZone), zap.String("links", read.Links),
		zap.Strings("seeds", read.Seeds), zap.Bool("first", read.First))
	assembled, err := node.Assemble(provisioner.Settings{Settings: read, Fatal: fail, Log: log})
	if err != nil {
		return err
	}
	watcher := newSettingsWatcher(node.Path, read, assembled.Reload, log)
	services := append(assembled.Services, watcher)
	if err := Serve(ctx, log, max(leastDrain, read.Bounds.Grace-stopMargin), services); err != nil {
		return err
	}
	return context.Cause(ctx)
}
