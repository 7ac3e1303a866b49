// Package launcher runs the services of a process: it starts them in order,
// waits for a signal to stop and stops them, and gives them a log that never
// holds them up.
package launcher

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"burdocklink/registrar"
)

// failedStartStopTimeout is the longest wait for the stop of services after a failed start.
const failedStartStopTimeout = 5 * time.Second

// Serve starts the services in order, waits for a signal to stop or the end of
// the context, and stops them. Drain is the longest wait for work in flight.
func Serve(ctx context.Context, log *zap.Logger, drain time.Duration, services []registrar.Service) error {
	return serve(ctx, log, drain, services, notifyStop())
}

// notifyStop returns a channel with the signals to stop. It stays registered, so
// that a second signal does not end the process while work is in flight.
func notifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// notifyHangup returns a channel with the signals to read the settings again. It
// is registered before all else: such a signal ends a process that does not know
// it yet.
func notifyHangup() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func serve(ctx context.Context, log *zap.Logger, drain time.Duration, services []registrar.Service, signals <-chan os.Signal) error {
	kernel := registrar.New(log)
	for _, service := range services {
		if err := kernel.Add(service); err != nil {
			return err
		}
	}
	if err := kernel.Start(ctx, time.Now().Add(failedStartStopTimeout)); err != nil {
		return err
	}
	log.Info("serving")
	waitForStop(ctx, log, signals)
	kernel.Stop(time.Now().Add(drain))
	log.Info("stopped")
	return nil
}

func waitForStop(ctx context.Context, log *zap.Logger, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
		log.Info("stopping", zap.Error(context.Cause(ctx)))
	case received := <-signals:
		log.Info("stopping", zap.Stringer("signal", received))
	}
}
