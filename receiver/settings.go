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
	// BodyBytes is the largest request body.
	BodyBytes int64
	// HeaderBytes is the largest request header.
	HeaderBytes int
	// HeaderTime is the longest wait for a request header.
	HeaderTime time.Duration
	// BodyTime is the longest wait for a request body.
	BodyTime time.Duration
	// WriteTime is how long a caller may take no byte of its answer.
	WriteTime time.Duration
	// IdleTime is how long a caller's connection may stay unused.
	IdleTime time.Duration
	// RequestTime is the longest life of a request.
	RequestTime time.Duration
	// ClaimTime is the longest life of a claim, RequestTime at most.
	ClaimTime time.Duration
	// PendingTime is how long a resend waits for the first attempt.
	PendingTime time.Duration
	// FirstSilence is the longest wait for the first event of a stream, and
	// NextSilence that between two, in classes without such targets.
	FirstSilence time.Duration
	NextSilence  time.Duration
	// Linger is how long the listener stays open after readiness failed, so
	// that the balancer notices.
	Linger time.Duration
	// StoredBytes is the largest answer that is kept for a resend.
	StoredBytes int
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
	defaultBodyBytes   = 4 << 20
	defaultHeaderBytes = 32 << 10
	defaultHeaderTime  = 5 * time.Second
	defaultBodyTime    = 20 * time.Second
	defaultWriteTime   = 20 * time.Second
	defaultIdleTime    = 90 * time.Second
	defaultRequestTime = 10 * time.Minute
	defaultClaimTime   = 60 * time.Second
	defaultPendingTime = 30 * time.Second

	defaultFirstSilence = 20 * time.Second
	defaultNextSilence  = 5 * time.Second

	defaultStoredBytes = claimer.MaxAnswerBytes

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
	Ready     func() error
	Keys      Keys
	Admitter  Admitter
	Claims    Claims
	Upstreams Upstreams
	Calls     *dispatcher.Dispatcher
	Reporter  *reporter.Reporter
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.BodyBytes, defaultBodyBytes)
	orDefault(&s.HeaderBytes, defaultHeaderBytes)
	orDefault(&s.HeaderTime, defaultHeaderTime)
	orDefault(&s.BodyTime, defaultBodyTime)
	orDefault(&s.WriteTime, defaultWriteTime)
	orDefault(&s.IdleTime, defaultIdleTime)
	orDefault(&s.RequestTime, defaultRequestTime)
	orDefault(&s.ClaimTime, defaultClaimTime)
	orDefault(&s.PendingTime, defaultPendingTime)
	orDefault(&s.FirstSilence, defaultFirstSilence)
	orDefault(&s.NextSilence, defaultNextSilence)
	orDefault(&s.StoredBytes, defaultStoredBytes)
	orDefault(&s.Classes.Completion, defaultCompletionClass)
	orDefault(&s.Classes.Lookup, defaultLookupClass)
	orDefault(&s.Classes.Action, defaultActionClass)
	return s
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
