// Package launcher runs the services of a process: it starts them in order, waits
// for a stop signal and stops them. It also provides a log writer that never blocks.
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

// failedStartStopTimeout is the time to stop the started services if another one
// fails to start.
const failedStartStopTimeout = 5 * time.Second

// Serve starts the services in order, waits for a stop signal or the end of ctx, and
// stops them. Drain is the maximum time for in-flight requests to end.
func Serve(ctx context.Context, log *zap.Logger, drain time.Duration, services []registrar.Service) error {
	return serve(ctx, log, drain, services, notifyStop())
}

// notifyStop returns a channel that receives stop signals. It stays registered, so
// that a second signal does not kill the process while requests are in flight.
func notifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// notifyHangup returns a channel that receives SIGHUP, the signal to reload the
// settings. It is registered before anything else: an unhandled SIGHUP kills the
// process.
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
