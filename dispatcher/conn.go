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
// closed the connection in order.
//
// The kernel reports a reset to one system call only. If that is a write, reads return the
// data received before the reset and then io.EOF, as after an orderly end.
type answerConn struct {
	net.Conn
	// writing is held during a write and guards writeErr, the error of the first write that
	// failed.
	writing  sync.Mutex
	writeErr error
}

// dialFunc opens connections, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialAnswerConn opens an answerConn.
func dialAnswerConn(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &answerConn{Conn: conn}, nil
	}
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
// *ResetError.
func (c *answerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
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
