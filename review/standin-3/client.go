//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const host = "door.example"

var requestNumber atomic.Int64

// request is one of a caller.
type request struct {
	method, path string
	model        string
	tokens       string
	parts        string
	timeout      time.Duration
	from         string
	// id is set by send.
	id string
}

// answer is what a caller got. Status is 0 if there was no answer.
type answer struct {
	status int
	body   string
	signed bool
	// id is that of the request, server the one that the answer names.
	id, server string
	err        error
}

// send sends a request to an entry over a new connection and reads the whole answer.
func (s *system) send(n *node, q request) answer {
	q.id = fmt.Sprintf("%016x", requestNumber.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	dialer := &net.Dialer{}
	if q.from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(q.from)}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+s.address(n.ip, 0)+q.path, nil)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Burdocklink-Request-Id", q.id)
	r.Header.Set("Burdocklink-Request-Timeout-Ms", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.model != "" {
		r.Header.Set("Burdocklink-Model", q.model)
	}
	if q.tokens != "" {
		r.Header.Set("Burdocklink-Token-Count", q.tokens)
	}
	if q.parts != "" {
		r.Header.Set("Burdocklink-Prompt-Prefix", q.parts)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), signed: response.Header.Get("Burdocklink-Server-Signature") != "", id: q.id, server: response.Header.Get("Server-Id"), err: err}
}

// ordinary is a request of an ordinary caller to a stream of a model.
func ordinary(path, model string) request {
	return request{method: http.MethodPost, path: path, model: model, tokens: "120,12", parts: "5c1e07a2:80,91bd3f06:40", timeout: 4 * time.Second}
}

// plain is a request of an ordinary caller to a plain service.
func plain(path string) request {
	return request{method: http.MethodGet, path: path, timeout: 1500 * time.Millisecond}
}

func (a answer) String() string {
	if a.err != nil {
		return "no whole answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signed %v", a.status, a.signed)
}
