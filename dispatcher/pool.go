package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxIdleTime is how long an unused connection is kept if the upstream does not
	// announce how long it keeps its end open.
	maxIdleTime = 30 * time.Second
	// idleMargin is how much earlier than the upstream this side stops using an idle
	// connection, so that no request crosses the upstream's close.
	idleMargin = 500 * time.Millisecond
	// maxInlineBody is the size of the largest body that is written before reading the
	// answer. A larger one is written concurrently, because the upstream may answer
	// before it has read it all. It fits into the buffers of a connection.
	maxInlineBody = 8 << 10
	// bodyFlushTimeout is how long writing the rest of a body may take after its answer
	// before the connection is closed.
	bodyFlushTimeout = time.Second
	// maxAnswerHeaders bounds the answers read for one call, including informational
	// ones and answers to other calls.
	maxAnswerHeaders = 8
	// maxRefusals is the number of refusals that a connection carries before it is closed.
	maxRefusals = 16
	// maxForeignBytes bounds the size of a skipped answer to another call.
	maxForeignBytes = 1 << 20
)

// pool keeps idle connections by address. Their last exchanges are complete.
type pool struct {
	mutex sync.Mutex
	idle  map[string][]*pooledConn
}

// pooledConn is a connection that carries one exchange after another.
type pooledConn struct {
	*answerConn
	address string
	reader  *bufio.Reader
	// remaining is how many more bytes may be read.
	remaining int64
	// expiresAt is when the connection must no longer be used.
	expiresAt time.Time
	// refused are the IDs of the calls that were refused on the connection.
	refused []string
}

// Send makes a call over a new or reused connection, and returns the response as soon
// as its header has arrived. Nothing is ever sent twice: the error is a *NotSentError
// if no byte was written, and an *InterruptedError if the call may have run. The
// context bounds the whole exchange including the body. Closing the body early closes
// the connection.
func (d *Dispatcher) Send(ctx context.Context, call Call) (*http.Response, error) {
	for {
		request, err := call.newRequest(ctx)
		if err != nil {
			return nil, err
		}
		call.preserveTarget(request)
		conn, reused, err := d.connect(ctx, call)
		if err != nil {
			return nil, &NotSentError{Address: call.Address, Cause: err}
		}
		if call.Allowed != nil && !call.Allowed() {
			conn.abort()
			return nil, &NotSentError{Address: call.Address, Cause: &DisallowedError{}}
		}
		response, err := conn.roundTrip(ctx, request, call, d.pool)
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

// preserveTarget keeps the host and the exact bytes of the path. A path with two
// leading slashes would be mistaken for a host and stays as parsed.
func (c Call) preserveTarget(request *http.Request) {
	if c.Host != "" {
		request.Host = c.Host
	}
	path, query, hasQuery := strings.Cut(c.Path, "?")
	if strings.HasPrefix(path, "//") {
		return
	}
	request.URL.Opaque = path
	request.URL.RawQuery = query
	request.URL.ForceQuery = hasQuery && query == ""
}

// connect returns an idle connection that is still open and may carry the call, or a new
// one.
func (d *Dispatcher) connect(ctx context.Context, call Call) (*pooledConn, bool, error) {
	address := call.Address
	for {
		pooled := d.pool.get(address, call.ID, time.Now())
		if pooled == nil {
			break
		}
		if pooled.stillIdle() {
			return pooled, true, nil
		}
		_ = pooled.Close()
	}
	conn, err := d.dialer.open(ctx, address)
	if err != nil {
		return nil, false, err
	}
	pooled := &pooledConn{answerConn: conn, address: address}
	pooled.reader = bufio.NewReaderSize(pooled, readBufferBytes)
	return pooled, false, nil
}

// Read reads up to the remaining bytes.
func (c *pooledConn) Read(buffer []byte) (int, error) {
	return readLimited(c.answerConn, &c.remaining, buffer)
}

// get returns the most recently used connection, since it is the most likely to be
// open, that has not carried a refusal of the call with an ID; nil if there is none.
func (p *pool) get(address, id string, now time.Time) *pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evictExpired(address, now)
	conns := p.idle[address]
	for at := len(conns) - 1; at >= 0; at-- {
		conn := conns[at]
		if id != "" && slices.Contains(conn.refused, id) {
			continue
		}
		p.idle[address] = slices.Delete(conns, at, at+1)
		if now.Before(conn.expiresAt) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (p *pool) put(conn *pooledConn, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evictExpired(conn.address, now)
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// evictExpired closes the expired connections of an address. They are ordered by last
// use.
func (p *pool) evictExpired(address string, now time.Time) {
	conns := p.idle[address]
	for len(conns) > 0 && !now.Before(conns[0].expiresAt) {
		_ = conns[0].Close()
		conns = conns[1:]
	}
	p.idle[address] = conns
}

// closeAddress closes all unused connections to an address.
func (p *pool) closeAddress(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.idle[address] {
		_ = conn.Close()
	}
	delete(p.idle, address)
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, conns := range p.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(p.idle, address)
	}
}

// stillIdle reports whether nothing has arrived on an idle connection, neither its end
// nor unsolicited bytes.
func (c *pooledConn) stillIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, errno := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errno == unix.EAGAIN || errno == unix.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}

// unwrittenError reports that no byte of a request was written.
type unwrittenError struct{ cause error }

// Error describes the failure.
func (e *unwrittenError) Error() string { return "nothing was written: " + e.cause.Error() }

// countingWriter counts the bytes that the connection accepted.
type countingWriter struct {
	writer io.Writer
	count  int64
}

// Write forwards data.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.writer.Write(data)
	w.count += int64(n)
	return n, err
}

// roundTrip writes the request and reads the header of its response.
func (c *pooledConn) roundTrip(ctx context.Context, request *http.Request, call Call, pool *pool) (*http.Response, error) {
	stopCancel := context.AfterFunc(ctx, c.abort)
	c.beginHead()
	writer := &requestWriter{conn: c, request: request, done: make(chan struct{})}
	if len(call.Body) <= maxInlineBody {
		writer.run()
		if writer.err != nil {
			stopCancel()
			c.abort()
			if writer.written == 0 {
				return nil, &unwrittenError{cause: writer.err}
			}
			return nil, writer.err
		}
	} else {
		go writer.run()
	}
	response, err := c.readHeader(request, call.OwnsAnswer)
	if err != nil {
		stopCancel()
		c.abort()
		return nil, err
	}
	c.recordRefusal(response, call)
	response.Body = &pooledBody{
		ReadCloser: response.Body, conn: c, pool: pool, stopCancel: stopCancel,
		writer: writer, response: response,
	}
	return response, nil
}

// recordRefusal keeps a refused call from being made again on the connection. After a
// refusal that names no call, the connection is not reused: nothing would tell a repetition
// from the refusal of another call.
func (c *pooledConn) recordRefusal(response *http.Response, call Call) {
	if call.Refuses == nil {
		return
	}
	refused, named := call.Refuses(response)
	if !refused {
		return
	}
	c.refused = append(c.refused, call.ID)
	if !named || len(c.refused) >= maxRefusals {
		response.Close = true
	}
}

// readHeader skips informational answers and answers to other calls.
func (c *pooledConn) readHeader(request *http.Request, ownsAnswer func(http.Header) bool) (*http.Response, error) {
	for range maxAnswerHeaders {
		c.remaining = maxHeaderBytes
		response, err := readHead(c.reader, request)
		if err != nil {
			return nil, err
		}
		if isInformational(response.StatusCode) {
			continue
		}
		if ownsAnswer == nil || ownsAnswer(response.Header) {
			c.remaining = math.MaxInt64
			return response, nil
		}
		c.remaining = maxForeignBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if err := c.beginNextHead(); err != nil {
			return nil, err
		}
	}
	return nil, &ForeignAnswersError{}
}

// beginNextHead expects the head of another answer, a part of which may have arrived together
// with the answer before.
func (c *pooledConn) beginNextHead() error {
	c.beginHead()
	// what is buffered can always be peeked at
	arrived, _ := c.reader.Peek(c.reader.Buffered())
	return c.scan(arrived)
}

func (c *pooledConn) abort() { _ = c.Close() }

// requestWriter writes one request.
type requestWriter struct {
	conn    *pooledConn
	request *http.Request
	// done is closed once written and err are final.
	done    chan struct{}
	written int64
	err     error
}

func (w *requestWriter) run() {
	defer close(w.done)
	counter := &countingWriter{writer: w.conn.answerConn}
	buffered := bufio.NewWriterSize(counter, writeBufferBytes)
	w.err = w.request.Write(buffered)
	if w.err == nil {
		w.err = buffered.Flush()
	}
	w.written = counter.count
}

// flushed waits up to bodyFlushTimeout for the rest of the request to be written, and
// reports whether it was.
func (w *requestWriter) flushed() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
	}
	timer := time.NewTimer(bodyFlushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// pooledBody returns its connection to the pool once it has been read to its end.
type pooledBody struct {
	io.ReadCloser
	conn       *pooledConn
	pool       *pool
	stopCancel func() bool
	writer     *requestWriter
	response   *http.Response
	ended      bool
}

// Read reads the body. At its end the connection is free for the next call.
func (b *pooledBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && !b.ended {
		b.finish()
	}
	return n, err
}

// finish returns the connection to the pool if it can be reused.
func (b *pooledBody) finish() {
	b.ended = true
	cancelled := !b.stopCancel()
	if cancelled || !b.reusable() || !b.writer.flushed() {
		b.conn.abort()
		return
	}
	// Discard may have set a deadline.
	_ = b.conn.SetReadDeadline(time.Time{})
	now := time.Now()
	idleTime := parseIdleTime(b.response.Header.Get("Keep-Alive"))
	if idleTime <= 0 {
		b.conn.abort()
		return
	}
	b.conn.expiresAt = now.Add(idleTime)
	b.pool.put(b.conn, now)
}

func (b *pooledBody) reusable() bool {
	framed := b.response.ContentLength >= 0 || len(b.response.TransferEncoding) > 0
	return framed && !b.response.Close && b.conn.reader.Buffered() == 0
}

// Close ends the exchange. If the body was not read to its end, it closes the
// connection, which tells the upstream to stop.
func (b *pooledBody) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.stopCancel()
	b.conn.abort()
	return nil
}

// parseIdleTime returns how long an unused connection may be kept according to a
// Keep-Alive header.
func parseIdleTime(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return maxIdleTime
}
