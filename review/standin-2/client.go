//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// tried is what a client saw of one request.
type tried struct {
	id     string
	status int
	body   string
	err    error
	took   time.Duration
	header http.Header
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ask sends one request on a new connection and reads the answer. Fields are lines of the
// header as they stand on the wire.
func ask(address, method, path, host string, fields []string, body string, timeout time.Duration) tried {
	return askFrom(nil, address, method, path, host, fields, body, timeout)
}

// askFrom is ask from a source address; nil for any.
func askFrom(source *net.TCPAddr, address, method, path, host string, fields []string, body string, timeout time.Duration) tried {
	t := tried{id: newID()}
	started := time.Now()
	defer func() { t.took = time.Since(started) }()
	dialer := net.Dialer{Timeout: time.Second}
	if source != nil {
		dialer.LocalAddr = source
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.err = err
		return t
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nBurdocklink-Request-Id: %s\r\n", method, path, host, t.id)
	fmt.Fprintf(&head, "Burdocklink-Request-Timeout-Ms: %d\r\n", timeout.Milliseconds())
	for _, field := range fields {
		head.WriteString(field + "\r\n")
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, head.String()); err != nil {
		t.err = err
		return t
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		t.err = err
		return t
	}
	t.status, t.header = response.StatusCode, response.Header
	content, err := io.ReadAll(response.Body)
	t.body, t.err = string(content), err
	return t
}

// front returns the address of an entry for callers.
func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }
