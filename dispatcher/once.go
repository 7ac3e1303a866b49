package dispatcher

import (
	"context"
	"net"
	"sync"
)

// Once makes a call that must not run twice. It uses one connection, which
// nothing used before and nothing uses after. The error is a *NotSentError
// only where no byte was written; every other failure leaves open whether the
// call ran.
func (d *Dispatcher) Once(ctx context.Context, call Call) (Answer, error) {
	line := &singleLine{dialer: net.Dialer{Timeout: d.settings.Dial}}
	via := transport(line.dial)
	via.DisableKeepAlives = true
	defer via.CloseIdleConnections()

	request, err := call.request(ctx)
	if err != nil {
		return Answer{}, err
	}
	response, err := via.RoundTrip(request)
	if err != nil {
		return Answer{}, line.classify(call.Address, err)
	}
	call.headerArrived(response)
	return d.ReadAll(call.Address, response)
}

// singleLine dials once and remembers whether anything was written. Once
// sealed it lets nothing more through, so that a late writer below cannot
// send a call that was already reported as not sent.
type singleLine struct {
	dialer net.Dialer

	mu      sync.Mutex
	dialled bool
	written bool
	sealed  bool
}

func (l *singleLine) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !l.claimDial() {
		return nil, &SecondDialError{}
	}
	conn, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &notedConn{Conn: conn, line: l}, nil
}

func (l *singleLine) claimDial() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialled {
		return false
	}
	l.dialled = true
	return true
}

func (l *singleLine) claimWrite() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sealed {
		return false
	}
	l.written = true
	return true
}

func (l *singleLine) classify(address string, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sealed = true
	if l.written {
		return &InterruptedError{Address: address, Cause: err}
	}
	return &NotSentError{Address: address, Cause: err}
}

// notedConn notes the first write before it happens.
type notedConn struct {
	net.Conn
	line *singleLine
}

func (c *notedConn) Write(bytes []byte) (int, error) {
	if !c.line.claimWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(bytes)
}
