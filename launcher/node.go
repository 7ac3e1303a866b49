package launcher

import (
	"context"
	"errors"
	"os"
	"syscall"
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
	// fullDiskPause is the wait before a role is run again whose disk was full.
	fullDiskPause = 500 * time.Millisecond
)

// RunNode runs a role until it is told to stop, or can't go on. One whose disk
// is full stops its work and begins anew, from what the disk holds, until there
// is room.
func RunNode(ctx context.Context, node Node, log *zap.Logger) error {
	signals, hangUps := notifyStop(), notifyHangUp()
	for {
		err := runOnce(ctx, node, log, signals, hangUps)
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		log.Warn("the disk is full", zap.Error(err))
		select {
		case <-time.After(fullDiskPause):
		case <-signals:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// runOnce runs a role until it is told to stop, or fails.
func runOnce(ctx context.Context, node Node, log *zap.Logger, signals, hangUps <-chan os.Signal) error {
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
		zap.String("availability-zone", read.AvailabilityZone), zap.String("links", read.LinkAddress),
		zap.Strings("seeds", read.Seeds), zap.Bool("first", read.Bootstrap))
	assembled, err := node.Assemble(provisioner.Settings{Settings: read, Fatal: fail, Log: log})
	if err != nil {
		return err
	}
	watcher := newSettingsWatcher(node.Path, read, assembled.Reload, hangUps, log)
	services := append(assembled.Services, watcher)
	if err := serve(ctx, log, max(leastDrain, read.Bounds.Grace-stopMargin), services, signals); err != nil {
		return err
	}
	return context.Cause(ctx)
}
