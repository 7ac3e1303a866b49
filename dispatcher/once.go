package dispatcher

import (
	"context"
	"net"
	"sync"
)

// Once makes a call that must not run twice, on a connection used for nothing else. The
// error is a *NotSentError only if no byte was written. After any other failure the
// call may have run.
func (d *Dispatcher) Once(ctx context.Context, call Call) (Answer, error) {
	dialer := &singleDialer{dialer: answerDialer{&net.Dialer{Timeout: d.settings.DialTimeout}}}
	transport := newTransport(dialer.dial)
	transport.DisableKeepAlives = true
	defer transport.CloseIdleConnections()

	request, err := call.newRequest(ctx)
	if err != nil {
		return Answer{}, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{}, dialer.seal(call.Address, err)
	}
	call.notifyHeader(response)
	return d.ReadAll(call.Address, response)
}

// singleDialer dials once and records whether anything was written. Once sealed, it
// rejects writes, so that a late writer in the transport cannot send a call already
// reported as not sent.
type singleDialer struct {
	dialer answerDialer

	mu      sync.Mutex
	dialled bool
	written bool
	sealed  bool
}

func (d *singleDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.claimDial() {
		return nil, &SecondDialError{}
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, dialer: d}, nil
}

func (d *singleDialer) claimDial() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dialled {
		return false
	}
	d.dialled = true
	return true
}

func (d *singleDialer) claimWrite() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sealed {
		return false
	}
	d.written = true
	return true
}

func (d *singleDialer) seal(address string, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealed = true
	if d.written {
		return &InterruptedError{Address: address, Cause: err}
	}
	return &NotSentError{Address: address, Cause: err}
}

// trackedConn records the first write before it happens.
type trackedConn struct {
	net.Conn
	dialer *singleDialer
}

func (c *trackedConn) Write(bytes []byte) (int, error) {
	if !c.dialer.claimWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(bytes)
}
