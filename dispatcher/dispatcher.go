// Package dispatcher makes one call to one upstream. Idempotent calls share
// connections; a call that must not repeat has a connection of its own, so
// that nothing below it can send it twice.
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

// Settings bound the calls of a Dispatcher. A zero field takes its default.
type Settings struct {
	// DialTimeout is the longest wait for a connection.
	DialTimeout time.Duration
	// StallTimeout is the longest wait for a sign of progress on a connection.
	StallTimeout time.Duration
	// IdleTimeout is how long an unused connection may be used again.
	IdleTimeout time.Duration
	// MaxIdleConnections is the number of unused connections kept per upstream.
	MaxIdleConnections int
	// MaxAnswerBytes is the largest whole answer.
	MaxAnswerBytes int64
}

// defaults of Settings.
const (
	defaultDialTimeout        = 2 * time.Second
	defaultStallTimeout       = 20 * time.Second
	defaultIdleTimeout        = 15 * time.Second
	defaultMaxIdleConnections = 128
	defaultMaxAnswerBytes     = 8 << 20
	maxHeaderBytes            = 64 << 10
	// readBufferBytes and writeBytes are kept for each open connection.
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
	// Host is the host that the upstream is told; empty for its address.
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection that nothing used before.
	NewConnection bool
	// OwnsAnswer tells by its header whether an answer belongs to the call. One that
	// does not is read past: a late answer to another call may stand before it
	// on a connection that is used again. Nil takes every answer. Only Send
	// reads it.
	OwnsAnswer func(header http.Header) bool
	// StallTimeout is the longest wait for progress; zero takes that of Settings.
	StallTimeout time.Duration
	// Allowed says, once there is a connection, whether the call may still be
	// made. Nil allows it. Only Send reads it.
	Allowed func() bool
	// OnHeader is called with an answer before its body is read. It may be nil.
	// All but Send call it.
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
	dialer   *net.Dialer
	shared   *http.Transport
	unpooled *http.Transport
	pool     *pool
}

// New returns a Dispatcher.
func New(settings Settings) *Dispatcher {
	settings = settings.withDefaults()
	dialer := linker.Dialer(settings.DialTimeout)
	shared := newTransport(dialer.DialContext)
	shared.MaxIdleConnsPerHost = settings.MaxIdleConnections
	shared.IdleConnTimeout = settings.IdleTimeout
	unpooled := newTransport(dialer.DialContext)
	unpooled.DisableKeepAlives = true
	return &Dispatcher{settings: settings, dialer: dialer, shared: shared, unpooled: unpooled,
		pool: &pool{idle: map[string][]*pooledConn{}}}
}

// Close drops the unused connections.
func (d *Dispatcher) Close() {
	d.shared.CloseIdleConnections()
	d.pool.close()
}

// CloseIdle closes the unused connections to an address, as when another upstream
// answers there.
func (d *Dispatcher) CloseIdle(address string) { d.pool.closeAddress(address) }

// PieceReader is what the body of a response of Stream can do besides.
type PieceReader interface {
	// BeginPiece begins the wait for a piece of the body, such as an event: all reads
	// until the next call take no longer together, whatever bytes they bring. It is
	// called between two reads.
	BeginPiece(timeout time.Duration)
}

// Stream makes the call and returns the response as soon as its header is
// there. Silence, before the header or in the body, ends the call with a
// *SilentError. The body is a Patience.
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
	via := d.shared
	if call.NewConnection {
		via = d.unpooled
	}
	watch.arm()
	response, err := via.RoundTrip(request)
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

// closeIdleIfStalled closes unused connections after one was found silent: what lost
// track of one may have lost track of all.
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

func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}
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
