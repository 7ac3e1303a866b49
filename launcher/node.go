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
	// minDrain is the shortest time for work in flight.
	minDrain = time.Second
	// diskFullDelay is the wait before a role is run again whose disk was full.
	diskFullDelay = 500 * time.Millisecond
)

// RunNode runs a role until it is told to stop, or can't go on. One whose disk
// is full stops its work and begins anew, from what the disk holds, until there
// is room.
func RunNode(ctx context.Context, node Node, log *zap.Logger) error {
	signals, hangups := notifyStop(), notifyHangup()
	for {
		err := runOnce(ctx, node, log, signals, hangups)
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		log.Warn("the disk is full", zap.Error(err))
		select {
		case <-time.After(diskFullDelay):
		case <-signals:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// runOnce runs a role until it is told to stop, or fails.
func runOnce(ctx context.Context, node Node, log *zap.Logger, signals, hangups <-chan os.Signal) error {
	settings, err := platform.ReadSettings(node.Path)
	if err != nil {
		return err
	}
	if node.CheckOnly {
		return nil
	}
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	log.Info("starting", zap.String("node", settings.Node), zap.String("role", settings.Role),
		zap.String("availability-zone", settings.AvailabilityZone), zap.String("links", settings.LinkAddress),
		zap.Strings("seeds", settings.Seeds), zap.Bool("first", settings.Bootstrap))
	assembled, err := node.Assemble(provisioner.Settings{Settings: settings, Fatal: fail, Log: log})
	if err != nil {
		return err
	}
	watcher := newSettingsWatcher(node.Path, settings, assembled.Reload, hangups, log)
	services := append(assembled.Services, watcher)
	if err := serve(ctx, log, max(minDrain, settings.Bounds.Grace-stopMargin), services, signals); err != nil {
		return err
	}
	return context.Cause(ctx)
}
