// Package forwarder serves callers' requests on the routes of a configuration. It
// sends each request unchanged to an upstream, and returns only the answer that belongs
// to it. An incomplete answer never looks complete to the caller.
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/budgeter"
	"burdocklink/charger"
	"burdocklink/chooser"
	"burdocklink/dispatcher"
	"burdocklink/linker"
	"burdocklink/listener"
	"burdocklink/matcher"
	"burdocklink/quarantiner"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/router"
)

// Name is the service's name in the kernel.
const Name = "forwarder"

// Admitter grants upstreams to requests.
type Admitter interface {
	Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error)
	Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error)
}

// Holders finds holders of a model or adapter, and has it loaded if there is none.
type Holders interface {
	chooser.Holders
	// Name returns the router's name of a model or adapter of a service.
	Name(service, model, adapter string) string
}

// Upstreams records the notices and rate limits that upstreams announce.
type Upstreams interface {
	// ObserveNotice records the notice in an answer of the upstream of a choice.
	// unreadable is the text of a pause that can't be parsed; empty if there is none.
	ObserveNotice(choice router.Choice, notice router.Notice, unreadable string)
	// ObserveLimit records the rate limit in an answer of the upstream of a choice, or
	// that it announced none. The request was sent at sentAt. unreadable is the
	// text of a limit that can't be parsed; empty if there is none.
	ObserveLimit(choice router.Choice, sentAt time.Time, limit router.RateLimit, unreadable string)
	// Limit returns the rate limit of the upstream of a choice.
	Limit(choice router.Choice) router.RateLimit
	// Allows reports whether a request may still be sent to the upstream of a choice.
	Allows(choice router.Choice) bool
	// Leaving reports whether the upstream of a choice may stop at any time, because it
	// is leaving.
	Leaving(choice router.Choice) bool
}

// Streams knows which software began the streams of callers.
type Streams interface {
	// Begun records where the stream of a request began.
	Begun(id string, stream router.Stream)
	// Find returns where the stream that a request began may continue, or a
	// *historian.UnknownOriginError. One of the services served it.
	Find(ctx context.Context, id string, services []string) (router.Stream, error)
}

// Quotas charges requests against the quotas of their organisations.
type Quotas interface {
	// Charge waits until the quota covers a request. It returns a *charger.QuotaError if
	// that takes too long, a *charger.UnavailableError if nobody can tell in time, or the
	// context's error.
	Charge(ctx context.Context, request charger.Request) (*charger.Charge, error)
}

// Config configures a Forwarder.
type Config struct {
	// Listen is the IP address and port that serve callers.
	Listen           string
	AvailabilityZone string
	// Linger is how long the listener stays open after readiness fails.
	Linger time.Duration
	// Connections is the maximum number of callers' connections; zero means
	// listener.DefaultConnections.
	Connections int
	// BodyBytes and AnswerBytes bound the memory for headers and bodies of requests, and
	// for whole answers; zero means 32 MiB each.
	BodyBytes   int64
	AnswerBytes int64
	Codec       Codec
	// Table returns the routes in force; nil before there are any.
	Table     func() *matcher.Table
	Ready     func() error
	Admitter  Admitter
	Holders   Holders
	Upstreams Upstreams
	Calls     *dispatcher.Dispatcher
	// Quarantine keeps requests from upstreams that they would crash; nil means one
	// of this forwarder alone.
	Quarantine *quarantiner.Quarantiner
	// Streams is nil if the software of upstreams does not differ.
	Streams Streams
	// Quotas charges requests of organisations with a quota; nil if quotas have no effect.
	Quotas Quotas
	// KeysConfirmedAt returns a time, on the clock of timekeeper, at which the keys of the
	// table in force were the newest; zero if unknown. Nil means that they always are.
	KeysConfirmedAt func() time.Time
	// KeyLifetime is how long keys may be used after they were confirmed; zero for no limit.
	KeyLifetime time.Duration
	// Identify returns the incarnation that an engine reports at the address of a choice.
	// The engine may have started again, with other software, since the choice was listed.
	// Nil means that this can't happen.
	Identify func(ctx context.Context, choice router.Choice) (string, error)
	Reporter *reporter.Reporter
	Log      *zap.Logger
}

// Limits of callers' connections. Configured limits are lower; these only end
// connections that would otherwise stay open for ever.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds the memory for headers and bodies of requests.
	defaultBodyBytes = 32 << 20
)

// Forwarder serves callers.
type Forwarder struct {
	Config
	server   *http.Server
	listener *listener.Listener
	draining atomic.Bool
	// stopsAt is when requests in flight are cut off; nil while the process is not
	// about to stop.
	stopsAt  atomic.Pointer[time.Time]
	runTimes runTimes
	// bodies is the memory for headers and bodies of requests.
	bodies   *budgeter.Budget
	buffered bufferedBytes
	// admitCtx ends when waiting requests are to be refused.
	admitCtx      context.Context
	refuseWaiting context.CancelCauseFunc
}

// New returns a forwarder that has not started.
func New(config Config) *Forwarder {
	if config.Quarantine == nil {
		config.Quarantine = quarantiner.New(quarantiner.Settings{Log: config.Log})
	}
	if config.BodyBytes <= 0 {
		config.BodyBytes = defaultBodyBytes
	}
	if config.AnswerBytes <= 0 {
		config.AnswerBytes = defaultAnswerBytes
	}
	f := &Forwarder{
		Config: config, bodies: budgeter.New(config.BodyBytes), buffered: bufferedBytes{limit: config.AnswerBytes},
	}
	f.admitCtx, f.refuseWaiting = context.WithCancelCause(context.Background())
	return f
}

// String names the service.
func (f *Forwarder) String() string { return Name }

// Address returns the IP and port for callers, once started.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Start opens the listener and serves.
func (f *Forwarder) Start(context.Context, *registrar.Registrar) error {
	accepted, err := linker.Listen(f.Listen)
	if err != nil {
		return err
	}
	f.listener = listener.New(accepted, listener.Settings{
		Connections: f.Connections, Budget: f.bodies, Registry: f.Reporter.Registry(), Log: f.Log,
	})
	f.server = &http.Server{
		Handler:           f,
		ConnState:         f.listener.Track,
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

// ServeHTTP handles one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(f, w, r)
	defer x.releaseBuffer()
	defer x.releaseBody()
	defer x.endPass()
	defer x.returnCharge()
	// guards against request smuggling: bytes after a chunked body could be read as a
	// new request by one parser and as part of the body by another
	if f.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if err := x.serve(); err != nil {
		x.refuse(err)
	}
}

// Accepting returns the reason why no new connections should be opened, or nil.
func (f *Forwarder) Accepting() error {
	if f.draining.Load() {
		return &DrainingError{}
	}
	if f.Table() == nil {
		return &NoConfigurationError{}
	}
	if err := f.keysUsable(); err != nil {
		return err
	}
	return f.Ready()
}

// Stop fails readiness, keeps the listener open for Linger so that the load balancer
// notices, and lets requests at an upstream end until the deadline. Requests that still
// wait for an upstream are refused, because they would be cut off later, as are requests that
// are not likely to be answered by the deadline.
func (f *Forwarder) Stop(deadline time.Time) error {
	f.stopsAt.Store(&deadline)
	f.draining.Store(true)
	if wait := min(f.Linger, time.Until(deadline)); wait > 0 {
		time.Sleep(wait)
	}
	f.refuseWaiting(&DrainingError{})
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		_ = f.server.Close()
		return &ShutdownError{Cause: err}
	}
	return nil
}

// DrainingError is returned if the process is about to stop.
type DrainingError struct{}

// Error implements error.
func (e *DrainingError) Error() string { return "the process is about to stop" }

// ShutdownError is returned if requests in flight did not end by the deadline.
type ShutdownError struct{ Cause error }

// Error returns the cause.
func (e *ShutdownError) Error() string { return "requests in flight were cut off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ShutdownError) Unwrap() error { return e.Cause }
