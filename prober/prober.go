// Package prober serves the health, readiness and metrics of a process over HTTP.
package prober

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"burdocklink/budgeter"
	"burdocklink/linker"
	"burdocklink/listener"
	"burdocklink/registrar"
	"burdocklink/reporter"
)

// Name is the service name in the kernel.
const Name = "prober"

// Limits of requests. Bodies are not read.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 20 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// maxConnections and maxHeaderMemory bound the connections of a process's probers.
	maxConnections  = 128
	maxHeaderMemory = 4 << 20
)

// Settings hold the configuration and dependencies of a Prober.
type Settings struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// ReadyPath is an additional path for the readiness check; may be empty.
	ReadyPath string
	// Ready returns the reason why the process is not ready, or nil.
	Ready    func() error
	Reporter *reporter.Reporter
	Log      *zap.Logger
}

// Prober is the HTTP service.
type Prober struct {
	settings Settings
	server   *http.Server
	listener *listener.Listener
}

// New returns a Prober that has not been started.
func New(settings Settings) *Prober {
	p := &Prober{settings: settings}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", p.answerHealth)
	mux.HandleFunc("GET /readyz", p.answerReady)
	mux.HandleFunc("GET /metrics", p.answerMetrics)
	if settings.ReadyPath != "" {
		mux.HandleFunc("GET "+settings.ReadyPath, p.answerReady)
	}
	p.server = &http.Server{
		Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return p
}

// String returns the service name.
func (p *Prober) String() string { return Name }

// Address returns the address that the prober listens on. It must have been started.
func (p *Prober) Address() string { return p.listener.Addr().String() }

// Start opens the listener and begins to serve.
func (p *Prober) Start(context.Context, *registrar.Registrar) error {
	accepted, err := linker.Listen(p.settings.Listen)
	if err != nil {
		return err
	}
	p.listener = listener.New(accepted, listener.Settings{
		Connections: maxConnections, Budget: budgeter.New(maxHeaderMemory), Log: p.settings.Log,
	})
	p.server.ConnState = p.listener.Track
	go p.run()
	return nil
}

// Stop closes the listener and waits for requests in flight until the deadline.
func (p *Prober) Stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return p.server.Shutdown(ctx)
}

func (p *Prober) run() {
	if err := p.server.Serve(p.listener); err != http.ErrServerClosed {
		p.settings.Log.Warn("health listener failed", zap.Error(err))
	}
}

func (p *Prober) answerHealth(response http.ResponseWriter, _ *http.Request) {
	p.answer(response, http.StatusOK, "alive\n")
}

func (p *Prober) answerReady(response http.ResponseWriter, _ *http.Request) {
	if err := p.settings.Ready(); err != nil {
		p.answer(response, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	p.answer(response, http.StatusOK, "ready\n")
}

func (p *Prober) answerMetrics(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := p.settings.Reporter.WriteText(response); err != nil {
		p.settings.Log.Debug("writing metrics failed", zap.Error(err))
	}
}

func (p *Prober) answer(response http.ResponseWriter, status int, text string) {
	response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	response.WriteHeader(status)
	if _, err := response.Write([]byte(text)); err != nil {
		p.settings.Log.Debug("writing health answer failed", zap.Error(err))
	}
}
