package receiver

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/dispatcher"
	"burdocklink/reporter"
)

// Settings bound what a receiver takes. A zero field takes its default.
type Settings struct {
	// Listen is the IP and port for callers.
	Listen string
	// Entry names this process in claims.
	Entry string
	// AvailabilityZone is this process's own.
	AvailabilityZone string
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes int
	// HeaderTimeout is the longest wait for a request header.
	HeaderTimeout time.Duration
	// BodyTimeout is the longest wait for a request body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take no byte of its answer.
	WriteTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
	// RequestTimeout is the longest life of a request.
	RequestTimeout time.Duration
	// ClaimTimeout is the longest life of a claim, RequestTime at most.
	ClaimTimeout time.Duration
	// PendingTimeout is how long a resend waits for the first attempt.
	PendingTimeout time.Duration
	// FirstEventTimeout is the longest wait for the first event of a stream, and
	// NextSilence that between two, in classes without such targets.
	FirstEventTimeout time.Duration
	NextEventTimeout  time.Duration
	// Linger is how long the listener stays open after readiness failed, so
	// that the balancer notices.
	Linger time.Duration
	// MaxStoredBytes is the largest answer that is kept for a resend.
	MaxStoredBytes int
	// Classes are the classes of requests that name none.
	Classes DefaultClasses
}

// DefaultClasses names the class per kind of request.
type DefaultClasses struct {
	// Completion is for chats and prompts.
	Completion string
	// Lookup is for calls of services that only read.
	Lookup string
	// Action is for all other calls of services.
	Action string
}

// defaults of Settings.
const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 20 * time.Second
	defaultWriteTimeout   = 20 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	defaultRequestTimeout = 10 * time.Minute
	defaultClaimTimeout   = 60 * time.Second
	defaultPendingTimeout = 30 * time.Second

	defaultFirstEventTimeout = 20 * time.Second
	defaultNextEventTimeout  = 5 * time.Second

	defaultMaxStoredBytes = claimer.MaxAnswerBytes

	defaultCompletionClass = "interactive"
	defaultLookupClass     = "lookup"
	defaultActionClass     = "action"
)

// Config is all that a receiver needs.
type Config struct {
	Settings Settings
	Log      *zap.Logger
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Catalog returns the catalog in force, nil before the first.
	Catalog func() *cataloger.Catalog
	// Ready returns why the process should get no new requests, or nil.
	Ready         func() error
	Authenticator Authenticator
	Admitter      Admitter
	Claims        Claims
	Upstreams     Upstreams
	Dispatcher    *dispatcher.Dispatcher
	Reporter      *reporter.Reporter
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&s.BodyTimeout, defaultBodyTimeout)
	setDefault(&s.WriteTimeout, defaultWriteTimeout)
	setDefault(&s.IdleTimeout, defaultIdleTimeout)
	setDefault(&s.RequestTimeout, defaultRequestTimeout)
	setDefault(&s.ClaimTimeout, defaultClaimTimeout)
	setDefault(&s.PendingTimeout, defaultPendingTimeout)
	setDefault(&s.FirstEventTimeout, defaultFirstEventTimeout)
	setDefault(&s.NextEventTimeout, defaultNextEventTimeout)
	setDefault(&s.MaxStoredBytes, defaultMaxStoredBytes)
	setDefault(&s.Classes.Completion, defaultCompletionClass)
	setDefault(&s.Classes.Lookup, defaultLookupClass)
	setDefault(&s.Classes.Action, defaultActionClass)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
