package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"burdocklink/platform"
	"burdocklink/provisioner"
)

// Node describes how to run one role on the platform.
type Node struct {
	// Path is the path of the settings file.
	Path string
	// Assemble creates the services from the settings.
	Assemble func(provisioner.Settings) (*provisioner.Node, error)
	// CheckOnly makes RunNode check the settings and return without running anything.
	CheckOnly bool
}

const (
	// stopMargin is the time between the end of draining and the end of the
	// platform's grace period.
	stopMargin = 300 * time.Millisecond
	// minDrain is the minimum drain time for in-flight requests.
	minDrain = time.Second
	// diskFullDelay is the delay before a role is restarted after its disk was full.
	diskFullDelay = 500 * time.Millisecond
)

// RunNode runs a role until it is told to stop or fails. If the disk is full, the
// role is stopped and restarted from the data on disk until there is space again.
func RunNode(ctx context.Context, node Node, log *zap.Logger) error {
	signals, hangups := notifyStop(), notifyHangup()
	for {
		err := runOnce(ctx, node, log, signals, hangups)
		if !errors.Is(err, syscall.ENOSPC) {
			logFailure(log, err)
			return err
		}
		log.Warn("disk full; restarting services", zap.Error(err))
		select {
		case <-time.After(diskFullDelay):
		case <-signals:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// logFailure logs the error that ends the process, with its type.
func logFailure(log *zap.Logger, err error) {
	if err != nil {
		log.Error("role failed", zap.String("type", fmt.Sprintf("%T", err)), zap.Error(err))
	}
}

// runOnce runs a role until it is told to stop or fails.
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
