package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keptTime is how long an unused connection is kept where the upstream does
	// not say how long it keeps its end.
	keptTime = 30 * time.Second
	// keptMargin is how much earlier than the upstream an unused connection is
	// given up, so that no request crosses the upstream's close.
	keptMargin = 500 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is
	// looked for. A larger one is written beside it: the upstream may answer
	// before it has read it all. It fits into the buffers of a connection.
	inlineBody = 8 << 10
	// restTime is how long the rest of a body may take to leave after its
	// answer before the connection is given up.
	restTime = time.Second
	// mostHeaders is how many informational answers and answers to other calls
	// are read past.
	mostHeaders = 8
	// mostForeignBytes bounds an answer to another call that is read past.
	mostForeignBytes = 1 << 20
)

// pool keeps connections on which whole exchanges have ended, by address.
type pool struct {
	mutex sync.Mutex
	idle  map[string][]*pooledLine
}

// pooledLine is a connection that carries one exchange after the other.
type pooledLine struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// left is how many more bytes may be read.
	left int64
	// keptUntil is when the connection is not to be used any more.
	keptUntil time.Time
}

// Send makes a call over a connection that may have carried others before, and
// returns the response as soon as its header is there. Nothing is ever sent
// twice: the error is a *NotSentError where no byte was written, and an
// *InterruptedError where the call may have run. The context bounds the whole
// exchange, the body too; closing the body early closes the connection.
func (d *Dispatcher) Send(ctx context.Context, call Call) (*http.Response, error) {
	for {
		request, err := call.request(ctx)
		if err != nil {
			return nil, err
		}
		call.asGiven(request)
		line, reused, err := d.line(ctx, call.Address)
		if err != nil {
			return nil, &NotSentError{Address: call.Address, Cause: err}
		}
		if call.Allowed != nil && !call.Allowed() {
			line.hangUp()
			return nil, &NotSentError{Address: call.Address, Cause: &DisallowedError{}}
		}
		response, err := line.exchange(ctx, request, call, d.pool)
		var unwritten *unwrittenError
		if reused && errors.As(err, &unwritten) && ctx.Err() == nil {
			continue
		}
		if errors.As(err, &unwritten) {
			return nil, &NotSentError{Address: call.Address, Cause: unwritten.cause}
		}
		if err != nil {
			return nil, &InterruptedError{Address: call.Address, Cause: err}
		}
		return response, nil
	}
}

// asGiven keeps the host and the exact bytes of the path. A path with two
// leading slashes would look like a host and is left as it was parsed.
func (c Call) asGiven(request *http.Request) {
	if c.Host != "" {
		request.Host = c.Host
	}
	path, query, asked := strings.Cut(c.Path, "?")
	if strings.HasPrefix(path, "//") {
		return
	}
	request.URL.Opaque = path
	request.URL.RawQuery = query
	request.URL.ForceQuery = asked && query == ""
}

// line returns a kept connection that is still open, or a new one.
func (d *Dispatcher) line(ctx context.Context, address string) (*pooledLine, bool, error) {
	for {
		line := d.pool.take(address, time.Now())
		if line == nil {
			break
		}
		if line.quiet() {
			return line, true, nil
		}
		_ = line.Close()
	}
	conn, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	line := &pooledLine{Conn: conn, address: address}
	line.reader = bufio.NewReaderSize(line, readBytes)
	return line, false, nil
}

// Read reads within the bound.
func (l *pooledLine) Read(into []byte) (int, error) { return readWithin(l.Conn, &l.left, into) }

// take returns the connection that was used last, since it is the likeliest
// to be open, or nil.
func (p *pool) take(address string, now time.Time) *pooledLine {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		lines := p.idle[address]
		if len(lines) == 0 {
			return nil
		}
		line := lines[len(lines)-1]
		p.idle[address] = lines[:len(lines)-1]
		if now.Before(line.keptUntil) {
			return line
		}
		_ = line.Close()
	}
}

func (p *pool) put(line *pooledLine, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(line.address, now)
	p.idle[line.address] = append(p.idle[line.address], line)
}

// sweep closes connections of an address that are too old. They are in order
// of their last use.
func (p *pool) sweep(address string, now time.Time) {
	lines := p.idle[address]
	for len(lines) > 0 && !now.Before(lines[0].keptUntil) {
		_ = lines[0].Close()
		lines = lines[1:]
	}
	p.idle[address] = lines
}

// forget closes all unused connections to an address.
func (p *pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, line := range p.idle[address] {
		_ = line.Close()
	}
	delete(p.idle, address)
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, lines := range p.idle {
		for _, line := range lines {
			_ = line.Close()
		}
		delete(p.idle, address)
	}
}

// quiet says whether nothing has arrived on an unused connection: neither its
// end nor bytes that belong to no request.
func (l *pooledLine) quiet() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := l.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, got := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = got == unix.EAGAIN || got == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// unwrittenError says that not one byte of a request was written.
type unwrittenError struct{ cause error }

// Error describes the failure.
func (e *unwrittenError) Error() string { return "nothing was written: " + e.cause.Error() }

// countingWriter counts what the connection took.
type countingWriter struct {
	to    io.Writer
	count int64
}

// Write passes data on.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.to.Write(data)
	w.count += int64(n)
	return n, err
}

// exchange writes the request and reads the header of its response.
func (l *pooledLine) exchange(ctx context.Context, request *http.Request, call Call, home *pool) (*http.Response, error) {
	release := context.AfterFunc(ctx, l.hangUp)
	sending := &sending{line: l, request: request, done: make(chan struct{})}
	if len(call.Body) <= inlineBody {
		sending.run()
		if sending.err != nil {
			release()
			l.hangUp()
			if sending.written == 0 {
				return nil, &unwrittenError{cause: sending.err}
			}
			return nil, sending.err
		}
	} else {
		go sending.run()
	}
	response, err := l.readHeader(request, call.Owns)
	if err != nil {
		release()
		l.hangUp()
		return nil, err
	}
	response.Body = &pooledBody{
		ReadCloser: response.Body, line: l, home: home, release: release,
		sending: sending, response: response,
	}
	return response, nil
}

// readHeader reads past informational answers and answers to other calls.
func (l *pooledLine) readHeader(request *http.Request, owns func(http.Header) bool) (*http.Response, error) {
	for range mostHeaders {
		l.left = headerBytes
		response, err := http.ReadResponse(l.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if owns == nil || owns(response.Header) {
			l.left = math.MaxInt64
			return response, nil
		}
		l.left = mostForeignBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, &ForeignAnswersError{}
}

func (l *pooledLine) hangUp() { _ = l.Close() }

// sending writes one request.
type sending struct {
	line    *pooledLine
	request *http.Request
	// done is closed once written and err are final.
	done    chan struct{}
	written int64
	err     error
}

func (s *sending) run() {
	defer close(s.done)
	writer := &countingWriter{to: s.line.Conn}
	buffered := bufio.NewWriterSize(writer, writeBytes)
	s.err = s.request.Write(buffered)
	if s.err == nil {
		s.err = buffered.Flush()
	}
	s.written = writer.count
}

// ended waits a little for the rest of the request to leave.
func (s *sending) ended() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
	}
	timer := time.NewTimer(restTime)
	defer timer.Stop()
	select {
	case <-s.done:
		return s.err == nil
	case <-timer.C:
		return false
	}
}

// pooledBody gives its connection back once it was read to its end.
type pooledBody struct {
	io.ReadCloser
	line     *pooledLine
	home     *pool
	release  func() bool
	sending  *sending
	response *http.Response
	over     bool
}

// Read reads on; at the end the connection is free for the next call.
func (b *pooledBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err == io.EOF && !b.over {
		b.finish()
	}
	return n, err
}

// finish keeps the connection where it may be used again.
func (b *pooledBody) finish() {
	b.over = true
	cancelled := !b.release()
	if cancelled || !b.reusable() || !b.sending.ended() {
		b.line.hangUp()
		return
	}
	// Discard may have set one
	_ = b.line.SetReadDeadline(time.Time{})
	now := time.Now()
	kept := keptFor(b.response.Header.Get("Keep-Alive"))
	if kept <= 0 {
		b.line.hangUp()
		return
	}
	b.line.keptUntil = now.Add(kept)
	b.home.put(b.line, now)
}

func (b *pooledBody) reusable() bool {
	framed := b.response.ContentLength >= 0 || len(b.response.TransferEncoding) > 0
	return framed && !b.response.Close && b.line.reader.Buffered() == 0
}

// Close ends the exchange. Where the body was not read to its end, the
// connection is closed, which tells the upstream to stop.
func (b *pooledBody) Close() error {
	if b.over {
		return nil
	}
	b.over = true
	b.release()
	b.line.hangUp()
	return nil
}

// keptFor reads how long an upstream keeps an unused connection.
func keptFor(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return min(keptTime, time.Duration(seconds)*time.Second-keptMargin)
		}
	}
	return keptTime
}
