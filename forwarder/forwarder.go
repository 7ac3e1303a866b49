// Package forwarder takes callers' requests on the routes of a configuration,
// sends each to an upstream unchanged and brings its answer back: whole, and
// only the one that belongs to it.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/dispatcher"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/router"
)

// Name is the service's name in the kernel.
const Name = "forwarder"

// Admitter gives requests their upstreams.
type Admitter interface {
	Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error)
	Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error)
}

// Holders brings about that a model or adapter is held somewhere.
type Holders interface {
	chooser.Holders
	// Name is what the router calls a model or adapter of a service.
	Name(service, model, adapter string) string
}

// Upstreams knows what upstreams say of themselves.
type Upstreams interface {
	// ObserveNotice takes in what came with an answer of the upstream of a choice.
	// Unreadable is a pause that can't be read, empty where there is none.
	ObserveNotice(choice router.Choice, notice router.Notice, unreadable string)
	// ObserveLimit takes in the limit that an answer of the upstream of a choice
	// names, or that it names none. The request was sent at a time.
	ObserveLimit(choice router.Choice, sentAt time.Time, limit router.RateLimit, unreadable string)
	// Limit returns the limit of the upstream of a choice.
	Limit(choice router.Choice) router.RateLimit
	// Allows says whether a request may still go to the upstream of a choice.
	Allows(choice router.Choice) bool
}

// Config is what a forwarder needs.
type Config struct {
	// Listen is the IP address and port for callers.
	Listen           string
	AvailabilityZone string
	// Linger is how long the listener stays open after readiness failed.
	Linger time.Duration
	Codec  Codec
	// Table returns the routes in force, nil before there are any.
	Table     func() *matcher.Table
	Ready     func() error
	Admitter  Admitter
	Holders   Holders
	Upstreams Upstreams
	Calls     *dispatcher.Dispatcher
	Reporter  *reporter.Reporter
	Log       *zap.Logger
}

// bounds of callers' connections. What a configuration says of them is lower;
// these only end what would stay for ever.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)

// Forwarder serves callers.
type Forwarder struct {
	Config
	server   *http.Server
	listener net.Listener
	draining atomic.Bool
	buffered bufferedBytes
	// admitCtx ends when requests that wait for an upstream are to be refused.
	admitCtx      context.Context
	refuseWaiting context.CancelCauseFunc
}

// New returns a forwarder that has not started.
func New(config Config) *Forwarder {
	f := &Forwarder{Config: config}
	f.admitCtx, f.refuseWaiting = context.WithCancelCause(context.Background())
	return f
}

// String names the service.
func (f *Forwarder) String() string { return Name }

// Address returns the IP and port for callers, once started.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Start opens the listener and serves.
func (f *Forwarder) Start(context.Context, *registrar.Registrar) error {
	listener, err := linker.Listen(f.Listen)
	if err != nil {
		return err
	}
	f.listener = listener
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(f.Log),
	}
	go f.run()
	return nil
}

func (f *Forwarder) run() {
	if err := f.server.Serve(f.listener); err != http.ErrServerClosed {
		f.Log.Error("listener failed", zap.Error(err))
	}
}

// ServeHTTP sees one request through to its answer.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(f, w, r)
	defer x.releaseBuffer()
	// what follows a chunked body could be taken for a request of its own by
	// one reader and for a part of the body by another
	if f.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if err := x.serve(); err != nil {
		x.refuse(err)
	}
}

// Accepting returns why new connections should go elsewhere, or nil.
func (f *Forwarder) Accepting() error {
	if f.draining.Load() {
		return &DrainingError{}
	}
	if f.Table() == nil {
		return &NoConfigurationError{}
	}
	return f.Ready()
}

// Stop fails readiness, keeps the listener open until the balancer has had
// time to notice, and lets requests that are at an upstream end before the
// deadline. Those that still wait for one are refused: they would be cut off
// later.
func (f *Forwarder) Stop(deadline time.Time) error {
	f.draining.Store(true)
	if wait := min(f.Linger, time.Until(deadline)); wait > 0 {
		time.Sleep(wait)
	}
	f.refuseWaiting(&DrainingError{})
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		_ = f.server.Close()
		return &DrainTimeoutError{Cause: err}
	}
	return nil
}

// DrainingError says that the process is about to stop.
type DrainingError struct{}

// Error describes the state.
func (e *DrainingError) Error() string { return "the process is about to stop" }

// DrainTimeoutError says that requests in flight did not end in time.
type DrainTimeoutError struct{ Cause error }

// Error describes the cut.
func (e *DrainTimeoutError) Error() string {
	return "requests in flight were cut off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DrainTimeoutError) Unwrap() error { return e.Cause }
