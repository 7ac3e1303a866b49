package dispatcher

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
)

// Open makes a call over a connection of its own and returns the response as
// soon as its header is there, for answers that stay open long. It keeps less
// for each of them than Stream: no goroutine and one small buffer. Silence ends
// the call with a *SilentError. The body is a Patience.
func (d *Dispatcher) Open(ctx context.Context, call Call) (*http.Response, error) {
	silence := call.Silence
	if silence <= 0 {
		silence = d.settings.Silence
	}
	watch := newWatch(ctx, silence)
	request, err := call.request(watch.ctx)
	if err != nil {
		watch.close()
		return nil, err
	}
	conn, err := d.dialer.DialContext(watch.ctx, "tcp", call.Address)
	if err != nil {
		watch.close()
		return nil, &NotSentError{Address: call.Address, Cause: err}
	}
	line := &ownLine{Conn: conn, left: headerBytes}
	line.release = context.AfterFunc(watch.ctx, line.hangUp)
	watch.arm()
	response, err := line.exchange(request)
	watch.disarm()
	if err != nil {
		err = watch.cause(err)
		watch.close()
		line.hangUp()
		return nil, &InterruptedError{Address: call.Address, Cause: err}
	}
	call.headerArrived(response)
	response.Body = &watchedBody{
		ReadCloser: &ownBody{Reader: response.Body, line: line},
		watch:      watch,
		dispatcher: d,
	}
	return response, nil
}

// ownLine is a connection that carries one call.
type ownLine struct {
	net.Conn
	// left is how many more bytes may be read.
	left    int64
	release func() bool
}

// Read reads within the bound.
func (l *ownLine) Read(into []byte) (int, error) { return readWithin(l.Conn, &l.left, into) }

// readWithin reads no more bytes than are left.
func readWithin(from io.Reader, left *int64, into []byte) (int, error) {
	if *left <= 0 {
		return 0, &AnswerTooLargeError{Limit: headerBytes}
	}
	into = into[:min(int64(len(into)), *left)]
	n, err := from.Read(into)
	*left -= int64(n)
	return n, err
}

// exchange writes the request and reads the header of its response.
func (l *ownLine) exchange(request *http.Request) (*http.Response, error) {
	request.Close = true
	if err := request.Write(l); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(l, readBytes)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			l.left = math.MaxInt64
			return response, nil
		}
	}
}

func (l *ownLine) hangUp() { _ = l.Close() }

// ownBody closes the connection with the body: what is left is not read.
type ownBody struct {
	io.Reader
	line *ownLine
}

func (b *ownBody) Close() error {
	b.line.release()
	return b.line.Close()
}
