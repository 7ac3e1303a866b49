// Package dispatcher makes one call to one upstream. Idempotent calls share
// connections. A call that must not be repeated has its own connection, so that no
// layer below can send it twice.
package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"burdocklink/linker"
)

// Settings bound the calls of a Dispatcher. Zero fields take their defaults.
type Settings struct {
	// DialTimeout bounds the wait for a connection.
	DialTimeout time.Duration
	// StallTimeout bounds the wait for progress on a connection.
	StallTimeout time.Duration
	// IdleTimeout is how long an unused connection can be reused.
	IdleTimeout time.Duration
	// MaxIdleConnections is the number of unused connections kept per upstream.
	MaxIdleConnections int
	// MaxAnswerBytes is the size of the largest answer that is read as a whole.
	MaxAnswerBytes int64
}

// Defaults of Settings.
const (
	defaultDialTimeout        = 2 * time.Second
	defaultStallTimeout       = 20 * time.Second
	defaultIdleTimeout        = 15 * time.Second
	defaultMaxIdleConnections = 128
	defaultMaxAnswerBytes     = 8 << 20
	maxHeaderBytes            = 64 << 10
	// readBufferBytes and writeBufferBytes are allocated for each open connection.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
)

// Call is one request to one upstream.
type Call struct {
	// Address is the IP and port of the upstream.
	Address string
	Method  string
	// Path is the path with the query.
	Path string
	// Host is the host named to the upstream; empty for its address.
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection that has not been used before.
	NewConnection bool
	// OwnsAnswer reports by its header whether an answer belongs to the call. Other
	// answers are skipped: on a reused connection, a late answer to an earlier call may
	// come first. Nil accepts every answer. Only Send uses it.
	OwnsAnswer func(header http.Header) bool
	// ID identifies the request at the upstream; empty if it has no ID. Only Send uses it.
	ID string
	// Refuses reports whether an answer states that the call was not run, and whether it
	// names the call by its ID. A faulty upstream may repeat such an answer, so the call is
	// not made again on a connection that has carried it. Nil means that none does. Only
	// Send uses it.
	Refuses func(response *http.Response) (refused, named bool)
	// StallTimeout bounds the wait for progress; zero for that of Settings.
	StallTimeout time.Duration
	// Allowed is called once there is a connection, and reports whether the call may
	// still be made. Nil allows it. Only Send uses it.
	Allowed func() bool
	// OnHeader is called with an answer before its body is read. It may be nil. Send
	// does not use it.
	OnHeader func(response *http.Response)
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatcher makes calls.
type Dispatcher struct {
	settings Settings
	dialer   answerDialer
	shared   *Transport
	unpooled *Transport
	pool     *pool
}

// New returns a Dispatcher.
func New(settings Settings) *Dispatcher {
	settings = settings.withDefaults()
	dialer := answerDialer{linker.Dialer(settings.DialTimeout)}
	shared := newTransport(dialer.DialContext)
	shared.MaxIdleConnsPerHost = settings.MaxIdleConnections
	shared.IdleConnTimeout = settings.IdleTimeout
	unpooled := newTransport(dialer.DialContext)
	unpooled.DisableKeepAlives = true
	return &Dispatcher{settings: settings, dialer: dialer, shared: shared, unpooled: unpooled,
		pool: &pool{idle: map[string][]*pooledConn{}}}
}

// Close closes the unused connections.
func (d *Dispatcher) Close() {
	d.shared.CloseIdleConnections()
	d.pool.close()
}

// CloseIdle closes the unused connections to an address, for example when another
// upstream has taken it over.
func (d *Dispatcher) CloseIdle(address string) { d.pool.closeAddress(address) }

// PieceReader is implemented by the response bodies of Stream and OpenStream.
type PieceReader interface {
	// BeginPiece starts the wait for a piece of the body, such as an event. All reads
	// until the next call together must not take longer than the timeout, however many
	// bytes they return. It must not be called during a read.
	BeginPiece(timeout time.Duration)
}

// Stream makes the call and returns the response as soon as its header has arrived. A
// stall before the header or in the body ends the call with a *StalledError. The body
// is a PieceReader.
func (d *Dispatcher) Stream(ctx context.Context, call Call) (*http.Response, error) {
	stallTimeout := call.StallTimeout
	if stallTimeout <= 0 {
		stallTimeout = d.settings.StallTimeout
	}
	watch := newStallWatch(ctx, stallTimeout)
	request, err := call.newRequest(watch.ctx)
	if err != nil {
		watch.close()
		return nil, err
	}
	transport := d.shared
	if call.NewConnection {
		transport = d.unpooled
	}
	watch.arm()
	response, err := transport.RoundTrip(request)
	watch.disarm()
	if err != nil {
		err = watch.cause(err)
		watch.close()
		d.closeIdleIfStalled(err)
		return nil, classifyError(call.Address, err)
	}
	call.notifyHeader(response)
	response.Body = &watchedBody{ReadCloser: response.Body, watch: watch, dispatcher: d}
	return response, nil
}

// Do makes the call and reads the whole answer.
func (d *Dispatcher) Do(ctx context.Context, call Call) (Answer, error) {
	response, err := d.Stream(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	return d.ReadAll(call.Address, response)
}

// ReadAll reads and closes the body of a response. The error is an
// *InterruptedError or an *AnswerTooLargeError.
func (d *Dispatcher) ReadAll(address string, response *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, d.settings.MaxAnswerBytes+1))
	_ = response.Body.Close()
	if err != nil {
		return Answer{}, &InterruptedError{Address: address, Cause: err}
	}
	if int64(len(body)) > d.settings.MaxAnswerBytes {
		return Answer{}, &AnswerTooLargeError{Limit: d.settings.MaxAnswerBytes}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// closeIdleIfStalled closes the unused connections after one has stalled, because
// whatever lost its state may have lost that of all.
func (d *Dispatcher) closeIdleIfStalled(err error) {
	if _, stalled := err.(*StalledError); stalled {
		d.shared.CloseIdleConnections()
	}
}

func (c Call) notifyHeader(response *http.Response) {
	if c.OnHeader != nil {
		c.OnHeader(response)
	}
}

func (c Call) newRequest(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, nil)
	if err != nil {
		return nil, &NotSentError{Address: c.Address, Cause: err}
	}
	if c.Header != nil {
		request.Header = c.Header
	}
	if len(c.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.Body))
		request.ContentLength = int64(len(c.Body))
	}
	return request, nil
}

func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *Transport {
	return &Transport{&http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}}
}

func (s Settings) withDefaults() Settings {
	if s.DialTimeout <= 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.StallTimeout <= 0 {
		s.StallTimeout = defaultStallTimeout
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.MaxIdleConnections <= 0 {
		s.MaxIdleConnections = defaultMaxIdleConnections
	}
	if s.MaxAnswerBytes <= 0 {
		s.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return s
}
