//go:build review3

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["broken"] = playBroken }

const (
	// brokenEvery is how many answers of the server in trouble come to one that is spoiled.
	brokenEvery = 20
	// garbleTime is for how long it does so, and brokenTime how long callers go on.
	garbleTime = 5 * time.Second
	brokenTime = 10 * time.Second
)

// playBroken has one of two servers of each service spoil one answer in twenty: it says
// HTTP/1.0 in an answer in chunks, and breaks off every other one of these within a chunk.
// VERSION=HTTP/1.1 has it break off the same answers in the version in which chunks exist.
func playBroken(s *system, trouble bool) (bool, error) {
	version := os.Getenv("VERSION")
	if version == "" {
		version = "HTTP/1.0"
	}
	var troubled []*server
	held := map[string][]string{"llm": {"m0"}, "app": nil}
	for at := range 2 {
		for _, service := range []string{"llm", "app"} {
			each, err := s.addServer(service, held[service]...)
			if err != nil {
				return false, err
			}
			if trouble && at == 0 {
				each.spoilEvery, each.spoilVersion = brokenEvery, version
				troubled = append(troubled, each)
			}
		}
	}
	services := []map[string]any{engineService("llm", model("m0", 72700, 8.6)), plainService("app")}
	routes := []map[string]any{
		streamingRoute("chat", "/chat/", "llm"), plainRoute("book", "/book/", "non_idempotent", "app"),
		plainRoute("status", "/status/", "idempotent", "app"),
	}
	if err := s.start(2, configuration(5, routes, services)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	time.AfterFunc(garbleTime, func() {
		for _, each := range troubled {
			each.mutex.Lock()
			each.spoilEvery = 0
			each.mutex.Unlock()
		}
		s.add("no answer is spoiled any more")
	})
	book := plain("/book/1")
	book.method = http.MethodPost
	wrong := &wrongAnswers{}
	var group sync.WaitGroup
	until := time.Now().Add(brokenTime)
	for _, n := range s.entries {
		for _, q := range []request{plain("/status/1"), book, ordinary("/chat/1", "m0")} {
			group.Add(1)
			go func() {
				defer group.Done()
				for time.Now().Before(until) {
					wrong.check(s, n, q)
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}
	group.Wait()
	s.add("%d answers, of them %d a success whose body is not the server's whole body: %d that broke off at the server and ended in order here, %d others; streams among them: %d and %d",
		wrong.total, wrong.wrong, wrong.cut, wrong.wrong-wrong.cut, wrong.cutStreams, wrong.streams-wrong.cutStreams)
	s.add("%d answers were not given as a success or did not end in order", wrong.failed)
	s.tellRuns()
	return wrong.wrong > 0, nil
}

// wrongAnswers counts what callers get.
type wrongAnswers struct {
	mutex                sync.Mutex
	total, wrong, failed int
	// cut are those wrong ones that broke off at the server; streams counts the streams among
	// wrong, and cutStreams those among cut.
	cut, streams, cutStreams int
}

// check sends a request and compares the body of a success with what the server gave.
func (w *wrongAnswers) check(s *system, n *node, q request) {
	got := s.send(n, q)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.total++
	if got.err != nil || got.status >= 300 {
		w.failed++
		return
	}
	stream := strings.HasPrefix(q.path, "/chat/")
	if got.body == wholeBody(got.id, got.server, stream) {
		return
	}
	w.wrong++
	// only an answer that did not break off has the end of its chunks
	cut := !strings.HasSuffix(got.body, "0\r\n\r\n")
	if cut {
		w.cut++
	}
	if stream {
		w.streams++
	}
	if stream && cut {
		w.cutStreams++
	}
	if w.wrong <= 12 {
		s.add("%s: %s %s of %s is answered with %v and a body of %d bytes, not the server's whole body: %q", n.name, q.method, q.path, got.id, got, len(got.body), got.body)
	}
}

// wholeBody is the body of a server's answer to a request.
func wholeBody(id, server string, stream bool) string {
	if !stream {
		return id + " by " + server
	}
	var events strings.Builder
	for i := range 4 {
		events.WriteString(event(i, id))
	}
	return events.String()
}

// spoil answers in chunks under another version of HTTP, and may break off within a chunk.
func (v *server) spoil(w http.ResponseWriter, id, contentType string, pieces []string, breakOff bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "%s 200 OK\r\nContent-Type: %s\r\nBurdocklink-Request-Id: %s\r\nBurdocklink-Server-Signature: signed.%s.%s\r\n"+
		"Server-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", v.spoilVersion, contentType, id, v.id, id, v.id)
	for at, piece := range pieces {
		if breakOff && at == len(pieces)-1 {
			// the announced chunk does not come as a whole
			fmt.Fprintf(conn, "%x\r\n%s", len(piece), piece[:len(piece)/2])
			return
		}
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		time.Sleep(v.work)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
}
