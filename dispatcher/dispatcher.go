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
	// Dial is the longest wait for a connection.
	Dial time.Duration
	// Silence is the longest wait for a sign of progress on a connection.
	Silence time.Duration
	// Idle is how long an unused connection may be used again.
	Idle time.Duration
	// IdleConnections is the number of unused connections kept per upstream.
	IdleConnections int
	// AnswerBytes is the largest whole answer.
	AnswerBytes int64
}

// defaults of Settings.
const (
	defaultDial            = 2 * time.Second
	defaultSilence         = 20 * time.Second
	defaultIdle            = 15 * time.Second
	defaultIdleConnections = 128
	defaultAnswerBytes     = 8 << 20
	headerBytes            = 64 << 10
	// readBytes and writeBytes are kept for each open connection.
	readBytes  = 2 << 10
	writeBytes = 1 << 10
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
	// Fresh asks for a connection that nothing used before.
	Fresh bool
	// Owns tells by its header whether an answer belongs to the call. One that
	// does not is read past: a late answer to another call may stand before it
	// on a connection that is used again. Nil takes every answer. Only Send
	// reads it.
	Owns func(header http.Header) bool
	// Silence is the longest wait for progress; zero takes that of Settings.
	Silence time.Duration
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
	fresh    *http.Transport
	pool     *pool
}

// New returns a Dispatcher.
func New(settings Settings) *Dispatcher {
	settings = settings.withDefaults()
	dialer := linker.Dialer(settings.Dial)
	shared := transport(dialer.DialContext)
	shared.MaxIdleConnsPerHost = settings.IdleConnections
	shared.IdleConnTimeout = settings.Idle
	fresh := transport(dialer.DialContext)
	fresh.DisableKeepAlives = true
	return &Dispatcher{settings: settings, dialer: dialer, shared: shared, fresh: fresh,
		pool: &pool{idle: map[string][]*pooledLine{}}}
}

// Close drops the unused connections.
func (d *Dispatcher) Close() {
	d.shared.CloseIdleConnections()
	d.pool.close()
}

// Forget closes the unused connections to an address, as when another upstream
// answers there.
func (d *Dispatcher) Forget(address string) { d.pool.forget(address) }

// Patience is what the body of a response of Stream can do besides.
type Patience interface {
	// Await begins the wait for a piece of the body, such as an event: all reads
	// until the next call take no longer together, whatever bytes they bring. It is
	// called between two reads.
	Await(longest time.Duration)
}

// Stream makes the call and returns the response as soon as its header is
// there. Silence, before the header or in the body, ends the call with a
// *SilentError. The body is a Patience.
func (d *Dispatcher) Stream(ctx context.Context, call Call) (*http.Response, error) {
	silence := call.Silence
	if silence <= 0 {
		silence = d.settings.Silence
	}
	watch := newWatch(ctx, silence)
	request, err := call.request(watch.ctx)
	if err != nil {
		watch.close()
		return nil, err
	}
	via := d.shared
	if call.Fresh {
		via = d.fresh
	}
	watch.arm()
	response, err := via.RoundTrip(request)
	watch.disarm()
	if err != nil {
		err = watch.cause(err)
		watch.close()
		d.dropSilent(err)
		return nil, sendError(call.Address, err)
	}
	call.headerArrived(response)
	response.Body = &watchedBody{ReadCloser: response.Body, watch: watch, dispatcher: d}
	return response, nil
}

// Whole makes the call and reads the whole answer.
func (d *Dispatcher) Whole(ctx context.Context, call Call) (Answer, error) {
	response, err := d.Stream(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	return d.ReadAll(call.Address, response)
}

// ReadAll reads and closes the body of a response. The error is an
// *InterruptedError or an *AnswerTooLargeError.
func (d *Dispatcher) ReadAll(address string, response *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, d.settings.AnswerBytes+1))
	_ = response.Body.Close()
	if err != nil {
		return Answer{}, &InterruptedError{Address: address, Cause: err}
	}
	if int64(len(body)) > d.settings.AnswerBytes {
		return Answer{}, &AnswerTooLargeError{Limit: d.settings.AnswerBytes}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// dropSilent closes unused connections after one was found silent: what lost
// track of one may have lost track of all.
func (d *Dispatcher) dropSilent(err error) {
	if _, silent := err.(*SilentError); silent {
		d.shared.CloseIdleConnections()
	}
}

func (c Call) headerArrived(response *http.Response) {
	if c.OnHeader != nil {
		c.OnHeader(response)
	}
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
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

func transport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerBytes,
		ReadBufferSize:         readBytes,
		WriteBufferSize:        writeBytes,
	}
}

func (s Settings) withDefaults() Settings {
	if s.Dial <= 0 {
		s.Dial = defaultDial
	}
	if s.Silence <= 0 {
		s.Silence = defaultSilence
	}
	if s.Idle <= 0 {
		s.Idle = defaultIdle
	}
	if s.IdleConnections <= 0 {
		s.IdleConnections = defaultIdleConnections
	}
	if s.AnswerBytes <= 0 {
		s.AnswerBytes = defaultAnswerBytes
	}
	return s
}
