package dispatcher

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSealedDialerRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	assert.NilError(t, near.SetDeadline(time.Now()))
	dialer := &singleDialer{}
	conn := &trackedConn{Conn: near, dialer: dialer}

	assert.ErrorType(t, dialer.seal("upstream", net.ErrClosed), &NotSentError{})
	_, err := conn.Write([]byte("late"))

	assert.Equal(t, err, net.ErrClosed)
}
