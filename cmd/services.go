package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"burdocklink/checker"
	"burdocklink/registrar"
)

// Settings that every daemon has.
var (
	checkSettings = checker.Definition{
		Name:   "check-settings",
		Usage:  "check the settings and exit",
		Switch: true,
	}
	drainTime = checker.Definition{
		Name:    "drain-time",
		Default: "60s",
		Usage:   "longest wait for work in flight after a signal to stop",
	}
)

// startTime is the longest wait for the stop of services after a failed start.
const startTime = 5 * time.Second

// serve starts the services in order, waits for a signal to stop or the end of
// the context, and stops them.
func serve(call *invocation, drain time.Duration, services []registrar.Service) error {
	kernel := registrar.New(call.log)
	for _, service := range services {
		if err := kernel.Add(service); err != nil {
			return err
		}
	}
	signals := make(chan os.Signal, 1)
	// The channel stays registered, so that a second signal does not end the
	// process while work is in flight.
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := kernel.Start(call.ctx, time.Now().Add(startTime)); err != nil {
		return err
	}
	call.log.Info("serving")
	waitForStop(call.ctx, call.log, signals)
	kernel.Stop(time.Now().Add(drain))
	call.log.Info("stopped")
	return nil
}

func waitForStop(ctx context.Context, log *zap.Logger, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
	case received := <-signals:
		log.Info("stopping", zap.Stringer("signal", received))
	}
}
