package linker

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection can go silent for good while new ones work. The kernel finds
// that out by probes while it is idle, and by missing acknowledgements while
// something is on its way.
const (
	// keepAliveIdle is how long nothing arrives before the first probe, probeEvery
	// the time between two, and probeCount how many may stay unanswered. Together
	// they are below the shortest time that a caller waits for a first event.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// tcpUserTimeout is how long written bytes may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
)

// DialTimeout is the longest wait for a connection between the system's own
// processes. A VM that is just coming back leaves the first packet unanswered,
// and the kernel repeats it only after a second.
const DialTimeout = 400 * time.Millisecond

// Dialer returns a dialer whose connections notice that they have gone silent.
// Timeout is the longest wait for a connection; zero leaves it to the context.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets the bound on a new socket.
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
