package listener

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"burdocklink/budgeter"
)

// fieldBytes is the memory that a header field takes beside its text: its entries in the
// maps of the request and of the copy that is sent to an upstream.
const fieldBytes = 400

// refusal is the answer to a request whose header finds no memory. It has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connection is one connection of a client.
type connection struct {
	net.Conn
	listener *Listener
	source   string

	mutex sync.Mutex
	// waiting is true until the header of a request has been read. since is when that
	// began.
	waiting bool
	since   time.Time
	closed  bool
	header  headerScanner
	// memory is that of the header; nil if there is no budget or no byte of a header.
	memory *budgeter.Body
	// writeDeadline is the server's; zero for none.
	writeDeadline time.Time
}

func newConnection(l *Listener, accepted net.Conn) *connection {
	if tcp, ok := accepted.(*net.TCPConn); ok {
		// this fails only on a connection that has ended
		_ = tcp.SetReadBuffer(receiveBufferBytes)
	}
	return &connection{Conn: accepted, listener: l, source: sourceOf(accepted), waiting: true, since: time.Now()}
}

// waitingSince returns whether no request is served, and since when.
func (c *connection) waitingSince() (bool, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.waiting, c.since
}

// beginRequest records that the header of a request has been read.
func (c *connection) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = false
	if c.memory != nil {
		// a header that was given up has closed the connection
		_ = c.memory.Complete()
	}
}

// awaitRequest records that the request has ended.
func (c *connection) awaitRequest(now time.Time) {
	c.mutex.Lock()
	memory := c.memory
	c.memory, c.waiting, c.since, c.header = nil, true, now, headerScanner{}
	c.mutex.Unlock()
	if memory != nil {
		memory.Release()
	}
}

// Read reads and counts the bytes of headers. If there is no memory for a header, it
// answers the request and ends the connection.
func (c *connection) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n == 0 || c.listener.settings.Budget == nil || c.listener.settings.Encrypted {
		return n, err
	}
	if full := c.count(into[:n]); full != nil {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c.Conn, refusal)
		return 0, io.EOF
	}
	return n, err
}

// count reserves the memory of the header so far.
func (c *connection) count(received []byte) error {
	c.mutex.Lock()
	if !c.waiting || c.closed || c.header.complete {
		c.mutex.Unlock()
		return nil
	}
	c.header.scan(received)
	if c.memory == nil {
		c.memory = c.listener.settings.Budget.Open(time.Now(), c.abort)
	}
	memory, size, arrived := c.memory, c.header.memory(), c.header.bytes
	c.mutex.Unlock()
	return memory.Reserve(time.Now(), size, arrived)
}

// Write writes in chunks, each of which must be accepted within stallTime.
func (c *connection) Write(from []byte) (int, error) {
	written := 0
	for {
		chunk := from[written:min(len(from), written+chunkBytes)]
		if err := c.Conn.SetWriteDeadline(c.nextWriteDeadline(time.Now())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written >= len(from) {
			return written, err
		}
	}
}

func (c *connection) nextWriteDeadline(now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stalled := now.Add(stallTime)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(stalled) {
		return c.writeDeadline
	}
	return stalled
}

// SetWriteDeadline sets the server's deadline, beside that for progress.
func (c *connection) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = at
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline sets the server's deadline for reads and writes.
func (c *connection) SetDeadline(at time.Time) error {
	if err := c.SetWriteDeadline(at); err != nil {
		return err
	}
	return c.SetReadDeadline(at)
}

// abort closes the connection for others.
func (c *connection) abort() { _ = c.Close() }

// Close closes the connection and releases its memory.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.listener.forget(c)
	c.awaitRequest(time.Now())
	return err
}

// headerScanner counts the bytes and fields of a header up to the empty line that ends it.
type headerScanner struct {
	bytes    int64
	fields   int64
	complete bool
	// lineBytes is the number of bytes other than CR in the current line.
	lineBytes int64
}

// memory returns the memory that the header takes.
func (s *headerScanner) memory() int64 { return 2*s.bytes + fieldBytes*s.fields }

// scan counts received bytes. Empty lines before the first line don't end the header.
func (s *headerScanner) scan(received []byte) {
	for len(received) > 0 && !s.complete {
		end := bytes.IndexByte(received, '\n')
		line := received
		if end >= 0 {
			line = received[:end+1]
		}
		s.bytes += int64(len(line))
		received = received[len(line):]
		if end < 0 {
			s.lineBytes += int64(len(line) - bytes.Count(line, []byte{'\r'}))
			return
		}
		s.lineBytes += int64(len(line) - 1 - bytes.Count(line, []byte{'\r'}))
		if s.lineBytes == 0 && s.fields > 0 {
			s.complete = true
			return
		}
		if s.lineBytes > 0 {
			s.fields++
		}
		s.lineBytes = 0
	}
}
