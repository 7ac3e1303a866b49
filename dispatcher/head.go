package dispatcher

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptrace"
)

const (
	// majorVersion is the major version of HTTP that upstreams speak.
	majorVersion = 1
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

// readHead reads the head of an answer, which may be informational. An answer whose head
// violates HTTP is an error.
func readHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// checkHead returns an error if the head of an answer violates HTTP, although net/http reads it.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != majorVersion {
		return &InvalidVersionError{Version: response.Proto}
	}
	status := response.StatusCode
	// no call asks for another protocol
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// isInformational reports whether another answer follows one with this status.
func isInformational(status int) bool { return status < http.StatusOK }

// Transport is an http.Transport that fails for an answer whose head violates HTTP.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that opens a connection for each call.
func NewTransport() *Transport {
	return &Transport{&http.Transport{DialContext: answerDialer{&net.Dialer{}}.DialContext, DisableKeepAlives: true}}
}

// RoundTrip makes one call.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: beginHead})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		// the connection may be unused by now, but what arrives next on it is no answer
		t.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// beginHead expects an answer on a connection that may have carried others. One of another type
// carries a single call, and expects an answer from the start.
func beginHead(chosen httptrace.GotConnInfo) {
	if conn, ok := chosen.Conn.(*answerConn); ok {
		conn.beginHead()
	}
}
