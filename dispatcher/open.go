package dispatcher

import (
	"bufio"
	"context"
	"io"
	"math"
	"net/http"
)

// OpenStream makes a call over its own connection and returns the response as soon as
// its header has arrived. It is meant for long-lived answers and needs less memory for
// each than Stream: no goroutine and one small buffer. A stall ends the call with a
// *StalledError. The body is a PieceReader.
func (d *Dispatcher) OpenStream(ctx context.Context, call Call) (*http.Response, error) {
	stallTimeout := call.StallTimeout
	if stallTimeout <= 0 {
		stallTimeout = d.settings.StallTimeout
	}
	watch := newStallWatch(ctx, stallTimeout)
	request, err := call.newRequest(watch.ctx)
	if err != nil {
		watch.close()
		return nil, err
	}
	conn, err := d.dialer.open(watch.ctx, call.Address)
	if err != nil {
		watch.close()
		return nil, &NotSentError{Address: call.Address, Cause: err}
	}
	dedicated := &dedicatedConn{answerConn: conn, remaining: maxHeaderBytes}
	dedicated.stopCancel = context.AfterFunc(watch.ctx, dedicated.abort)
	watch.arm()
	response, err := dedicated.roundTrip(request)
	watch.disarm()
	if err != nil {
		err = watch.cause(err)
		watch.close()
		dedicated.abort()
		return nil, &InterruptedError{Address: call.Address, Cause: err}
	}
	call.notifyHeader(response)
	response.Body = &watchedBody{
		ReadCloser: &dedicatedBody{Reader: response.Body, conn: dedicated},
		watch:      watch,
		dispatcher: d,
	}
	return response, nil
}

// dedicatedConn is a connection that carries one call.
type dedicatedConn struct {
	*answerConn
	// remaining is how many more bytes may be read.
	remaining  int64
	stopCancel func() bool
}

// Read reads up to the remaining bytes.
func (c *dedicatedConn) Read(buffer []byte) (int, error) {
	return readLimited(c.answerConn, &c.remaining, buffer)
}

// readLimited reads at most the remaining bytes.
func readLimited(from io.Reader, remaining *int64, buffer []byte) (int, error) {
	if *remaining <= 0 {
		return 0, &AnswerTooLargeError{Limit: maxHeaderBytes}
	}
	buffer = buffer[:min(int64(len(buffer)), *remaining)]
	n, err := from.Read(buffer)
	*remaining -= int64(n)
	return n, err
}

// roundTrip writes the request and reads the header of its response.
func (c *dedicatedConn) roundTrip(request *http.Request) (*http.Response, error) {
	request.Close = true
	if err := request.Write(c); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(c, readBufferBytes)
	for {
		response, err := readHead(reader, request)
		if err != nil {
			return nil, err
		}
		if !isInformational(response.StatusCode) {
			c.remaining = math.MaxInt64
			return response, nil
		}
	}
}

func (c *dedicatedConn) abort() { _ = c.Close() }

// dedicatedBody closes the connection with the body, without reading the rest.
type dedicatedBody struct {
	io.Reader
	conn *dedicatedConn
}

func (b *dedicatedBody) Close() error {
	b.conn.stopCancel()
	return b.conn.Close()
}
