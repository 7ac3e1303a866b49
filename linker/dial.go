package linker

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection can go silent permanently while new ones work. The kernel detects this by
// keepalive probes on an idle connection, and by missing acknowledgements on one with
// data in flight.
const (
	// keepAliveIdle is the idle time before the first probe, keepAliveInterval the time
	// between probes, and keepAliveCount the number of unanswered probes. Together they
	// are shorter than the shortest time that a caller waits for a first event.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// tcpUserTimeout is how long sent data may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
)

// DialTimeout is the timeout for a connection between the system's own processes. A VM
// that is coming back may not answer the first SYN, which the kernel repeats only after
// a second.
const DialTimeout = 400 * time.Millisecond

// Dialer returns a dialer whose connections detect that they have gone silent. A zero
// timeout leaves the wait for a connection to the context.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
