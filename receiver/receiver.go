// Package receiver is the callers' HTTP API: it reads a request, finds out
// whose it is and what class it has, and sees it through to its answer.
package receiver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/authenticator"
	"burdocklink/claimer"
	"burdocklink/linker"
	"burdocklink/registrar"
)

// Authenticator tells who a key belongs to.
type Authenticator interface {
	Authenticate(key string) (authenticator.Identity, error)
}

// Admitter gives requests their upstreams.
type Admitter interface {
	Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error)
	Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error)
}

// Claims reaches the replicated table of claims. An error means that the
// outcome of the event is not known.
type Claims interface {
	Claim(ctx context.Context, event claimer.Event) (claimer.Result, error)
}

// Receiver serves callers.
type Receiver struct {
	Config
	app      *iris.Application
	server   *http.Server
	listener net.Listener
	draining atomic.Bool
	// claimRecorder and canceller do what no caller waits for.
	claimRecorder *claimRecorder
	canceller     *canceller
}

// New returns a receiver that has not started.
func New(config Config) *Receiver {
	config.Settings = config.Settings.withDefaults()
	r := &Receiver{Config: config}
	r.claimRecorder = newClaimRecorder(config.Claims, config.Log)
	r.canceller = newCanceller(config.Dispatcher)
	return r
}

// String names the service.
func (r *Receiver) String() string { return "receiver" }

// Address returns the IP and port for callers, once started.
func (r *Receiver) Address() string { return r.listener.Addr().String() }

// Start opens the listener and serves.
func (r *Receiver) Start(context.Context, *registrar.Registrar) error {
	app, err := r.newApp()
	if err != nil {
		return err
	}
	r.app = app
	listener, err := linker.Listen(r.Settings.Listen)
	if err != nil {
		return err
	}
	r.listener = listener
	r.server = &http.Server{
		Handler:           app,
		ReadHeaderTimeout: r.Settings.HeaderTimeout,
		IdleTimeout:       r.Settings.IdleTimeout,
		MaxHeaderBytes:    r.Settings.MaxHeaderBytes,
		TLSConfig:         r.TLS,
		ErrorLog:          zap.NewStdLog(r.Log),
	}
	r.canceller.start()
	go r.run()
	return nil
}

func (r *Receiver) run() {
	var err error
	if r.TLS != nil {
		err = r.server.ServeTLS(r.listener, "", "")
	} else {
		err = r.server.Serve(r.listener)
	}
	if err != http.ErrServerClosed {
		r.Log.Error("listener failed", zap.Error(err))
	}
}

// Stop fails readiness, keeps the listener open until the balancer has had
// time to notice, and lets all requests in flight end. It cuts nothing before
// the deadline.
func (r *Receiver) Stop(deadline time.Time) error {
	r.draining.Store(true)
	r.linger(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := r.server.Shutdown(ctx)
	if err != nil {
		_ = r.server.Close()
		err = &ShutdownError{Cause: err}
	}
	r.canceller.stop()
	r.claimRecorder.stop(deadline)
	return err
}

func (r *Receiver) linger(deadline time.Time) {
	wait := min(r.Settings.Linger, time.Until(deadline))
	if wait > 0 {
		time.Sleep(wait)
	}
}

// ready returns why new requests should go elsewhere, or nil.
func (r *Receiver) ready() error {
	if r.draining.Load() {
		return &DrainingError{}
	}
	if r.Catalog() == nil {
		return &NoCatalogError{}
	}
	return r.Ready()
}
