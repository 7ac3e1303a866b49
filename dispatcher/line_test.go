package dispatcher

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestALineReportedAsUnusedLetsNothingThrough(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	assert.NilError(t, near.SetDeadline(time.Now()))
	line := &singleLine{}
	conn := &notedConn{Conn: near, line: line}

	assert.ErrorType(t, line.classify("upstream", net.ErrClosed), &NotSentError{})
	_, err := conn.Write([]byte("late"))

	assert.Equal(t, err, net.ErrClosed)
}
