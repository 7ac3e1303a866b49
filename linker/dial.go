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
	// probeAfter is how long nothing arrives before the first probe, probeEvery
	// the time between two, and probeCount how many may stay unanswered. Together
	// they are below the shortest time that a caller waits for a first event.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// unacknowledgedTime is how long written bytes may stay unacknowledged.
	unacknowledgedTime = 2 * time.Second
)

// DialTime is the longest wait for a connection between the system's own
// processes. A VM that is just coming back leaves the first packet unanswered,
// and the kernel repeats it only after a second.
const DialTime = 400 * time.Millisecond

// Dialer returns a dialer whose connections notice that they have gone silent.
// Timeout is the longest wait for a connection; zero leaves it to the context.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
		Control: limitUnacknowledged,
	}
}

// limitUnacknowledged sets the bound on a new socket.
func limitUnacknowledged(_, _ string, socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unacknowledgedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
