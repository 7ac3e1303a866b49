package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// answerConn is a connection to an upstream. Its reads return io.EOF only if the upstream
// closed the connection in order, and fail in the head of an answer that has an invalid field
// name.
//
// The kernel reports a reset to one system call only. If that is a write, reads return the
// data received before the reset and then io.EOF, as after an orderly end.
type answerConn struct {
	net.Conn
	// writing is held during a write and guards writeErr, the error of the first write that
	// failed.
	writing  sync.Mutex
	writeErr error
	// scanning guards head.
	scanning sync.Mutex
	head     headScanner
}

// answerDialer opens connections of the type answerConn.
type answerDialer struct{ *net.Dialer }

// open opens a connection.
func (d answerDialer) open(ctx context.Context, address string) (*answerConn, error) {
	conn, err := d.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &answerConn{Conn: conn}, nil
}

// DialContext opens a connection for an http.Transport.
func (d answerDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := d.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Write writes data.
func (c *answerConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads data. At the end of a connection that did not end in order, the error is a
// *ResetError. It is an *InvalidFieldError if the data has an invalid field name in a head.
func (c *answerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if invalid := c.scan(buffer[:n]); invalid != nil {
		return 0, invalid
	}
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// beginHead expects the head of an answer next.
func (c *answerConn) beginHead() {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.head = headScanner{}
}

// scan checks the field names in data that arrived.
func (c *answerConn) scan(data []byte) error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.head.scan(data)
}

// endError returns io.EOF if the upstream closed the connection in order. It ends writes: an
// upstream that has ended its answer has no use for the rest of a request.
func (c *answerConn) endError() error {
	// a write in progress may already have taken the error of a reset
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE):
		// a reset after the orderly end of the upstream's data
		return io.EOF
	default:
		return &ResetError{Cause: c.writeErr}
	}
}

// SyscallConn returns the raw connection.
func (c *answerConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return conn.SyscallConn()
}
