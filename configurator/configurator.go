// Package configurator is the operators' API for whole configurations. Any
// control member takes calls; those that need the leader are sent on to it.
package configurator

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/registrar"
)

// Name is the service's name in the kernel.
const Name = "configurator"

// Group is the control member behind the API.
type Group interface {
	Propose(ctx context.Context, command applier.Command) (applier.Applied, error)
	Confirm(ctx context.Context) (uint64, error)
	Read(ctx context.Context, read func(*applier.State)) error
	Status() conductor.Status
}

// Codec is the format of configurations and the paths of the calls.
type Codec struct {
	PathPut string
	PathGet string
	Decode  func([]byte) (*matcher.Configuration, error)
	// Pack and Unpack are for the log.
	Pack   func([]byte) ([]byte, error)
	Unpack func([]byte) ([]byte, error)
}

// Settings are what a configurator needs.
type Settings struct {
	// Listen is the IP address and port for operators.
	Listen string
	Group  Group
	Codec  Codec
	// Operators returns the operators' address of a member by its name.
	Operators func(member string) string
	Log       *zap.Logger
}

const (
	// maxBodyBytes bounds a configuration as it arrives.
	maxBodyBytes = 16 << 20
	// requestTimeout is the longest that a call may wait for the group. Operators
	// turn to another member after a second without an answer.
	requestTimeout = 900 * time.Millisecond
	// headerTimeout and idleTime bound operators' connections.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// leaderPollInterval is the wait before a member that knows no leader looks again.
	leaderPollInterval = 50 * time.Millisecond
)

// maxConcurrentDecodes is how many configurations are decoded at the same time. A member
// has one core, and the group's messages wait behind each of them.
const maxConcurrentDecodes = 1

// Configurator serves operators.
type Configurator struct {
	settings Settings
	server   *http.Server
	// decodeSlots holds a place for each configuration that is being decoded.
	decodeSlots chan struct{}
}

// New returns a configurator that has not started.
func New(settings Settings) *Configurator {
	c := &Configurator{settings: settings, decodeSlots: make(chan struct{}, maxConcurrentDecodes)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+settings.Codec.PathPut, c.put)
	mux.HandleFunc("GET "+settings.Codec.PathGet, c.get)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return c
}

// String names the service.
func (c *Configurator) String() string { return Name }

// Start listens and serves.
func (c *Configurator) Start(context.Context, *registrar.Registrar) error {
	listener, err := linker.Listen(c.settings.Listen)
	if err != nil {
		return err
	}
	go c.run(listener)
	return nil
}

func (c *Configurator) run(listener net.Listener) {
	if err := c.server.Serve(listener); err != http.ErrServerClosed {
		c.settings.Log.Error("operators' listener failed", zap.Error(err))
	}
}

// Stop lets calls end.
func (c *Configurator) Stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return c.server.Shutdown(ctx)
}

// put accepts a configuration.
func (c *Configurator) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		c.fail(w, "configuration refused", http.StatusBadRequest, err)
		return
	}
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

// decode checks a configuration and packs it for the log. The error is an
// *InvalidError where the configuration is at fault.
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

// failDecode answers where a configuration was not decoded.
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

// get answers with the newest configuration, once a quorum has confirmed that
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

// redirectOnceLeaderKnown sends a call on to the leader where that is another member, and
// waits for one where none is known.
func (c *Configurator) redirectOnceLeaderKnown(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	for {
		if c.redirect(w, r) {
			return true
		}
		status := c.settings.Group.Status()
		if status.Leader != "" || !linker.Pause(ctx, leaderPollInterval) {
			return false
		}
	}
}

// redirect sends a call on to the leader where another member is known to lead.
func (c *Configurator) redirect(w http.ResponseWriter, r *http.Request) bool {
	status := c.settings.Group.Status()
	if status.Leader == "" || status.Leader == status.Member {
		return false
	}
	w.Header().Set("Location", "http://"+c.settings.Operators(status.Leader)+r.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
	return true
}

// failGroupCall answers where the outcome is not known, or another member leads.
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

// NoConfigurationError says that no configuration was put yet.
type NoConfigurationError struct{}

// Error describes the state.
func (e *NoConfigurationError) Error() string { return "no configuration was put yet" }

// InvalidError says why a configuration can't be taken.
type InvalidError struct{ Cause error }

// Error describes the fault.
func (e *InvalidError) Error() string { return "invalid configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// BusyError says that other configurations were decoded for too long.
type BusyError struct{}

// Error describes the refusal.
func (e *BusyError) Error() string { return "too many configurations at once" }
