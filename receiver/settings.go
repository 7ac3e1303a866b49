package receiver

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/dispatcher"
	"burdocklink/quarantiner"
	"burdocklink/reporter"
)

// Settings configure a Receiver. Zero fields take their defaults.
type Settings struct {
	// Listen is the IP and port to listen on for callers.
	Listen string
	// Entry is the name of this process in claims.
	Entry string
	// AvailabilityZone is the availability zone of this process.
	AvailabilityZone string
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64
	// BodyMemory bounds the memory for headers and bodies of all requests, in bytes, and
	// Connections the number of callers' connections.
	BodyMemory  int64
	Connections int
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the wait for a request header.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time from the arrival of a request to the end of its
	// body.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may stall the write of its answer.
	WriteTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle between requests.
	IdleTimeout time.Duration
	// RequestTimeout bounds the time that a request takes, whatever its deadline.
	RequestTimeout time.Duration
	// ClaimTimeout is the lifetime of a claim. It must not exceed RequestTimeout.
	ClaimTimeout time.Duration
	// PendingTimeout is how long a resend waits for an earlier attempt to end.
	PendingTimeout time.Duration
	// FirstEventTimeout bounds the wait for the first event of a stream, and
	// NextEventTimeout that for each further event, in classes without such targets.
	FirstEventTimeout time.Duration
	NextEventTimeout  time.Duration
	// Linger is how long the listener stays open once the readiness check fails, so
	// that the load balancer notices first.
	Linger time.Duration
	// MaxStoredBytes is the size of the largest answer that is stored for resends.
	MaxStoredBytes int
	// Classes are the classes of requests that do not name one.
	Classes DefaultClasses
}

// DefaultClasses are the class names by kind of request.
type DefaultClasses struct {
	// Completion is for chat and text completions.
	Completion string
	// Lookup is for read-only calls of services.
	Lookup string
	// Action is for all other calls of services.
	Action string
}

// Defaults of Settings.
const (
	defaultMaxBodyBytes   = 4 << 20
	defaultBodyMemory     = 64 << 20
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

// Config holds the settings and dependencies of a Receiver.
type Config struct {
	Settings Settings
	Log      *zap.Logger
	// TLS is nil for plaintext HTTP.
	TLS *tls.Config
	// Catalog returns the catalog in force, or nil if there is none yet.
	Catalog func() *cataloger.Catalog
	// Ready returns the reason why the process should get no new requests, or nil.
	Ready         func() error
	Authenticator Authenticator
	Admitter      Admitter
	Claims        Claims
	Upstreams     Upstreams
	Dispatcher    *dispatcher.Dispatcher
	// Quarantine keeps completions from engines that they would crash; nil means one of
	// this receiver alone.
	Quarantine *quarantiner.Quarantiner
	Reporter   *reporter.Reporter
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.BodyMemory, defaultBodyMemory)
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
