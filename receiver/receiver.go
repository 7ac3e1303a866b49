// Package receiver implements the HTTP API for callers. It authenticates and
// classifies each request, dispatches it to an upstream and returns the answer.
package receiver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/authenticator"
	"burdocklink/budgeter"
	"burdocklink/claimer"
	"burdocklink/linker"
	"burdocklink/listener"
	"burdocklink/quarantiner"
	"burdocklink/registrar"
)

// Authenticator returns the identity that a key belongs to.
type Authenticator interface {
	Authenticate(key string) (authenticator.Identity, error)
}

// Admitter admits requests and assigns them to upstreams.
type Admitter interface {
	Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error)
	Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error)
}

// Claims applies events to the replicated claim table. An error means that it is
// unknown whether the event was applied.
type Claims interface {
	Claim(ctx context.Context, event claimer.Event) (claimer.Result, error)
}

// Receiver is the HTTP service for callers.
type Receiver struct {
	Config
	app      *iris.Application
	server   *http.Server
	listener *listener.Listener
	// bodies is the memory for headers and bodies of requests.
	bodies   *budgeter.Budget
	draining atomic.Bool
	// claimRecorder and canceller work in the background.
	claimRecorder *claimRecorder
	canceller     *canceller
}

// New returns a Receiver that has not been started.
func New(config Config) *Receiver {
	config.Settings = config.Settings.withDefaults()
	if config.Quarantine == nil {
		config.Quarantine = quarantiner.New(quarantiner.Settings{Log: config.Log})
	}
	r := &Receiver{Config: config, bodies: budgeter.New(config.Settings.BodyMemory)}
	r.claimRecorder = newClaimRecorder(config.Claims, config.Log)
	r.canceller = newCanceller(config.Dispatcher)
	return r
}

// String returns the service name.
func (r *Receiver) String() string { return "receiver" }

// Address returns the IP and port that the receiver listens on. It must have been
// started.
func (r *Receiver) Address() string { return r.listener.Addr().String() }

// Start opens the listener and begins to serve.
func (r *Receiver) Start(context.Context, *registrar.Registrar) error {
	app, err := r.newApp()
	if err != nil {
		return err
	}
	r.app = app
	accepted, err := linker.Listen(r.Settings.Listen)
	if err != nil {
		return err
	}
	r.listener = listener.New(accepted, listener.Settings{
		Connections: r.Settings.Connections, Budget: r.bodies, Encrypted: r.TLS != nil, Registry: r.Reporter.Registry(), Log: r.Log,
	})
	r.server = &http.Server{
		Handler:           app,
		ConnState:         r.listener.Track,
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
		r.Log.Error("caller listener failed", zap.Error(err))
	}
}

// Stop makes the readiness check fail, keeps the listener open until the load
// balancer has had time to notice, and then waits for the requests in flight. Those
// still running at the deadline are cut, which it reports as a *ShutdownError.
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

// ready returns the reason why the entry should get no new requests, or nil.
func (r *Receiver) ready() error {
	if r.draining.Load() {
		return &DrainingError{}
	}
	if r.Catalog() == nil {
		return &NoCatalogError{}
	}
	return r.Ready()
}
