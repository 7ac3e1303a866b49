// Package configurator serves the operators' API for whole configurations. Every
// control member accepts calls and redirects those that need the leader.
package configurator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/budgeter"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/linker"
	"burdocklink/listener"
	"burdocklink/matcher"
	"burdocklink/registrar"
)

// Name is the service's name in the kernel.
const Name = "configurator"

// Group is the control group as seen by the local member.
type Group interface {
	Propose(ctx context.Context, command applier.Command) (applier.Applied, error)
	Confirm(ctx context.Context) (uint64, error)
	Read(ctx context.Context, read func(*applier.State)) error
	Status() conductor.Status
}

// Codec defines the paths of the API and the format of configurations.
type Codec struct {
	PathPut string
	PathGet string
	Decode  func([]byte) (*matcher.Configuration, error)
	// Pack and Unpack convert a configuration to and from its form in the log.
	Pack   func([]byte) ([]byte, error)
	Unpack func([]byte) ([]byte, error)
}

// Settings configure a Configurator.
type Settings struct {
	// Listen is the IP address and port of the API.
	Listen string
	Group  Group
	Codec  Codec
	// Operators returns the API address of a member by name.
	Operators func(member string) string
	Log       *zap.Logger
}

const (
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 16 << 20
	// requestTimeout bounds the wait for the control group. Operators try another
	// member after a second without an answer.
	requestTimeout = 900 * time.Millisecond
	// headerTimeout and idleTimeout bound the connections of operators.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	readTimeout   = 20 * time.Second
	// maxConnections bounds the connections of operators, and bodyMemory the memory of
	// configurations that arrive.
	maxConnections = 128
	bodyMemory     = 48 << 20
	// leaderPollInterval is how often a member that knows no leader checks for one.
	leaderPollInterval = 50 * time.Millisecond
)

// maxConcurrentDecodes bounds concurrent decoding. A member has one core, and
// messages of the control group wait behind each decoding.
const maxConcurrentDecodes = 1

// Configurator serves the API.
type Configurator struct {
	settings Settings
	server   *http.Server
	// bodies is the memory of requests.
	bodies *budgeter.Budget
	// decodeSlots has an element for each configuration that is being decoded.
	decodeSlots chan struct{}
}

// New returns a configurator that has not been started.
func New(settings Settings) *Configurator {
	c := &Configurator{
		settings: settings, decodeSlots: make(chan struct{}, maxConcurrentDecodes), bodies: budgeter.New(bodyMemory),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+settings.Codec.PathPut, c.put)
	mux.HandleFunc("GET "+settings.Codec.PathGet, c.get)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	return c
}

// String returns the service name.
func (c *Configurator) String() string { return Name }

// Start listens and serves calls.
func (c *Configurator) Start(context.Context, *registrar.Registrar) error {
	accepted, err := linker.Listen(c.settings.Listen)
	if err != nil {
		return err
	}
	guarded := listener.New(accepted, listener.Settings{Connections: maxConnections, Budget: c.bodies, Log: c.settings.Log})
	c.server.ConnState = guarded.Track
	go c.run(guarded)
	return nil
}

func (c *Configurator) run(accepted net.Listener) {
	if err := c.server.Serve(accepted); err != http.ErrServerClosed {
		c.settings.Log.Error("API listener failed", zap.Error(err))
	}
}

// Stop waits for calls in flight until the deadline.
func (c *Configurator) Stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return c.server.Shutdown(ctx)
}

// put stores a configuration.
func (c *Configurator) put(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	memory := c.bodies.Open(time.Now(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer memory.Release()
	data, err := memory.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength)
	if err != nil {
		c.failBody(w, err)
		return
	}
	// the server watches the connection for its end from here on
	_ = control.SetReadDeadline(time.Time{})
	if c.redirect(w, r) {
		return
	}
	configuration, packed, err := c.decode(r.Context(), data)
	if err != nil {
		c.failDecode(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if c.redirectOnceLeaderKnown(ctx, w, r) {
		return
	}
	applied, err := c.settings.Group.Propose(ctx, applier.Configure{Configuration: cataloger.Configuration{
		Version: configuration.Version, Content: packed,
	}})
	if err != nil {
		c.failGroupCall(w, "configuration not committed", err)
		return
	}
	_, stored := applied.Result.(applier.Accepted)
	c.settings.Log.Info("configuration acknowledged", zap.Uint64("version", configuration.Version),
		zap.Bool("stored", stored), zap.Int("routes", len(configuration.Routes)), zap.Int("bytes", len(data)))
	w.WriteHeader(http.StatusOK)
}

// failBody answers a call whose body could not be read. One that found no memory may be
// sent again.
func (c *Configurator) failBody(w http.ResponseWriter, err error) {
	var full *budgeter.FullError
	var evicted *budgeter.EvictedError
	if errors.As(err, &full) || errors.As(err, &evicted) {
		w.Header().Set("Connection", "close")
		c.fail(w, "configuration not read", http.StatusServiceUnavailable, err)
		return
	}
	c.fail(w, "configuration refused", http.StatusBadRequest, err)
}

// decode validates a configuration and packs it for the log. It returns
// *InvalidError if the configuration is invalid, and *BusyError if no decode slot
// became free in time.
func (c *Configurator) decode(ctx context.Context, data []byte) (*matcher.Configuration, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	select {
	case c.decodeSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, &BusyError{}
	}
	defer func() { <-c.decodeSlots }()
	configuration, err := c.settings.Codec.Decode(data)
	if err == nil {
		err = configuration.Check()
	}
	if err != nil {
		return nil, nil, &InvalidError{Cause: err}
	}
	packed, err := c.settings.Codec.Pack(data)
	return configuration, packed, err
}

// failDecode answers a call whose configuration could not be decoded.
func (c *Configurator) failDecode(w http.ResponseWriter, err error) {
	var invalid *InvalidError
	var busy *BusyError
	switch {
	case errors.As(err, &invalid):
		c.fail(w, "configuration refused", http.StatusBadRequest, err)
	case errors.As(err, &busy):
		c.fail(w, "configuration not committed", http.StatusServiceUnavailable, err)
	default:
		c.fail(w, "configuration not packed", http.StatusInternalServerError, err)
	}
}

// get answers with the newest configuration, after a quorum has confirmed that
// there is no newer one.
func (c *Configurator) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if c.redirectOnceLeaderKnown(ctx, w, r) {
		return
	}
	var stored cataloger.Configuration
	_, err := c.settings.Group.Confirm(ctx)
	if err == nil {
		err = c.settings.Group.Read(ctx, func(state *applier.State) { stored = state.Catalog().Configuration })
	}
	if err != nil {
		c.failGroupCall(w, "configuration not read", err)
		return
	}
	if stored.Version == 0 {
		c.fail(w, "configuration not read", http.StatusServiceUnavailable, &NoConfigurationError{})
		return
	}
	data, err := c.settings.Codec.Unpack(stored.Content)
	if err != nil {
		c.fail(w, "configuration not unpacked", http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(data); err != nil {
		c.settings.Log.Info("configuration not delivered", zap.Error(err))
		return
	}
	c.settings.Log.Info("configuration read", zap.Uint64("version", stored.Version))
}

// redirectOnceLeaderKnown redirects a call to the leader if another member leads,
// and waits while no leader is known. It reports whether the call was redirected.
func (c *Configurator) redirectOnceLeaderKnown(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	for {
		if c.redirect(w, r) {
			return true
		}
		status := c.settings.Group.Status()
		if status.Leader != "" || !linker.Sleep(ctx, leaderPollInterval) {
			return false
		}
	}
}

// redirect redirects a call if another member is known to lead. It reports whether
// it did so.
func (c *Configurator) redirect(w http.ResponseWriter, r *http.Request) bool {
	status := c.settings.Group.Status()
	if status.Leader == "" || status.Leader == status.Member {
		return false
	}
	w.Header().Set("Location", "http://"+c.settings.Operators(status.Leader)+r.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
	return true
}

// failGroupCall answers a call that the control group failed: 413 if the
// configuration is too large, otherwise 503, since the outcome is unknown or
// another member leads.
func (c *Configurator) failGroupCall(w http.ResponseWriter, message string, err error) {
	var large *conductor.TooLargeError
	if errors.As(err, &large) {
		c.fail(w, message, http.StatusRequestEntityTooLarge, err)
		return
	}
	c.fail(w, message, http.StatusServiceUnavailable, err)
}

func (c *Configurator) fail(w http.ResponseWriter, message string, status int, err error) {
	c.settings.Log.Info(message, zap.Int("status", status), zap.Error(err))
	w.WriteHeader(status)
}

// NoConfigurationError reports that no configuration has been stored yet.
type NoConfigurationError struct{}

// Error implements error.
func (e *NoConfigurationError) Error() string { return "no configuration was put yet" }

// InvalidError reports that a configuration is invalid.
type InvalidError struct{ Cause error }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// BusyError reports that no decode slot became free in time.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many configurations at once" }
