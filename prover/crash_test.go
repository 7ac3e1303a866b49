package prover_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashingServer is a model engine that crashes when it begins to answer a request with
// the crashing part in its prompt. It is back after crashDowntime.
type crashingServer struct {
	*platformServer
	crashing string

	guard  sync.Mutex
	server *http.Server
	// crashes are the times of its crashes, received those of requests with the part.
	crashes, received []time.Time
}

const crashDowntime = 700 * time.Millisecond

func (s *platformSite) addCrashingServer(id, crashing string, models ...string) *crashingServer {
	s.t.Helper()
	c := &crashingServer{crashing: crashing}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	c.platformServer = &platformServer{
		id: id, service: "engines", models: models, state: "ready", software: "v1", born: 7, runs: map[string]int{},
		runsByOrganisation: map[string][]time.Time{},
		address:            listener.Addr().String(), eventInterval: 20 * time.Millisecond,
	}
	s.servers = append(s.servers, c.platformServer)
	c.listen(listener)
	s.t.Cleanup(c.close)
	return c
}

func (c *crashingServer) listen(listener net.Listener) {
	server := &http.Server{Handler: c}
	c.guard.Lock()
	c.server = server
	c.guard.Unlock()
	go c.run(server, listener)
}

func (c *crashingServer) run(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

func (c *crashingServer) close() {
	c.guard.Lock()
	defer c.guard.Unlock()
	_ = c.server.Close()
}

func (c *crashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("Burdocklink-Prompt-Prefix"), c.crashing) {
		c.platformServer.ServeHTTP(w, r)
		return
	}
	c.guard.Lock()
	c.received = append(c.received, time.Now())
	c.guard.Unlock()
	w.Header().Set("Burdocklink-Request-Id", r.Header.Get("Burdocklink-Request-Id"))
	w.Header().Set("Burdocklink-Server-Signature", "signed-by-"+c.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\nda")
	_ = http.NewResponseController(w).Flush()
	c.crash()
}

// crash closes all connections and starts the next incarnation later.
func (c *crashingServer) crash() {
	c.close()
	c.guard.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.guard.Unlock()
	time.AfterFunc(crashDowntime, func() {
		if listener, err := net.Listen("tcp", c.address); err == nil {
			c.replace()
			c.listen(listener)
		}
	})
}

// crashSite is a site with crashing servers and several entries.
type crashSite struct {
	*platformSite
	engines []*crashingServer
	entries []string
	number  int
}

const crashingPart = "badc0de1"

func newCrashSite(t *testing.T, subnet int) *crashSite {
	s := &crashSite{platformSite: newPlatformSite(t)}
	s.subnet = subnet
	s.servers = s.servers[2:] // the engines that don't crash
	for i := range 6 {
		s.engines = append(s.engines, s.addCrashingServer(fmt.Sprintf("fragile-%d", i+1), crashingPart, "m1", "m2"))
	}
	s.start()
	s.entries = []string{"front-1", "front-2"}
	for i := 2; i < 5; i++ {
		name := "front-" + strconv.Itoa(i+1)
		s.startNode("entry", name, s.frontHost(i), true)
		s.entries = append(s.entries, name)
	}
	for _, name := range s.entries {
		s.awaitReady(name)
	}
	return s
}

// crashes returns the number of crashes so far.
func (s *crashSite) crashes() int {
	total := 0
	for _, engine := range s.engines {
		engine.guard.Lock()
		total += len(engine.crashes)
		engine.guard.Unlock()
	}
	return total
}

// sendDraft sends a request with a middle part in its prompt.
func (s *crashSite) sendDraft(entry, part string) callerResponse {
	s.number++
	id := fmt.Sprintf("%016x", s.number)
	return s.send(entry, "/draft/1", id, map[string]string{
		"Burdocklink-Model":              "m1",
		"Burdocklink-Token-Count":        "100,20",
		"Burdocklink-Request-Timeout-Ms": "8000",
		"Burdocklink-Prompt-Prefix":      "c0ffee:60," + part + ":30," + id + ":10",
	})
}

// sendMixed sends requests by turns at all entries, every fifth with the crashing part. It
// returns how many of the others were asked and served.
func (s *crashSite) sendMixed(length time.Duration) (asked, served int) {
	for until := time.Now().Add(length); time.Now().Before(until); {
		for i, entry := range s.entries {
			part := fmt.Sprintf("50b1ec%02d", s.number%7)
			if (s.number+i)%5 == 0 {
				s.sendDraft(entry, crashingPart)
				continue
			}
			asked++
			if s.sendDraft(entry, part).status == http.StatusOK {
				served++
			}
		}
	}
	return asked, served
}

func TestPromptPartDoesNotCrashOneUpstreamAfterTheOther(t *testing.T) {
	s := newCrashSite(t, 40)
	s.sendMixed(6 * time.Second)
	before := s.crashes()
	assert.Assert(t, before >= 2 && before <= 5, "%d crashes", before)

	for _, entry := range s.entries {
		refused := s.sendDraft(entry, crashingPart)
		assert.Equal(t, refused.status, http.StatusServiceUnavailable, entry)
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 200, "returns after %v s", seconds)
	}
	asked, served := s.sendMixed(4 * time.Second)
	assert.Assert(t, served*100 >= asked*98, "%d of %d sound requests served", served, asked)

	s.nodes["front-3"].kill()
	s.startNode("entry", "front-3", s.frontHost(2), false)
	s.awaitReady("front-3")
	eventually(t, "the restarted entry knows the crashes", func() bool {
		return len(s.logLines("front-3", "upstream crashed under a request")) >= 2
	})
	assert.Equal(t, s.sendDraft("front-3", crashingPart).status, http.StatusServiceUnavailable)
	assert.Equal(t, s.crashes(), before)
}
