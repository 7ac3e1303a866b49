package prover_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// crowdMemoryMb is the memory of the smallest entry VM.
	crowdMemoryMb = 144
	// crowdBodyBytes is the limit of bodies.
	crowdBodyBytes = 4 << 20
	// crowdTime is how long ordinary callers are watched beside a crowd.
	crowdTime = 1500 * time.Millisecond
	// crowdRequests is the least number of their requests.
	crowdRequests = 20
	// crowdEnd bounds the writes of a crowd.
	crowdEnd = 4 * time.Second
)

// crowd is many clients of one kind that don't behave.
type crowd struct {
	clients int
	// send writes what one client sends. It returns when that is done, or at an error.
	send func(conn net.Conn, path string)
}

// crowds are by what their clients do.
func crowds() map[string]crowd {
	body := make([]byte, crowdBodyBytes)
	return map[string]crowd{
		"bodies in one piece stop before their end": {60, func(conn net.Conn, path string) {
			_, _ = io.WriteString(conn, crowdHeader(path, "Content-Length: "+strconv.Itoa(len(body))))
			_, _ = conn.Write(body[1:])
		}},
		"bodies in small pieces stop before their end": {100, func(conn net.Conn, path string) {
			_, _ = io.WriteString(conn, crowdHeader(path, "Content-Length: "+strconv.Itoa(len(body))))
			for sent := 0; sent < len(body)-1000; sent += 1000 {
				if _, err := conn.Write(body[:1000]); err != nil {
					return
				}
			}
		}},
		"bodies in chunks stop before their end": {60, func(conn net.Conn, path string) {
			_, _ = io.WriteString(conn, crowdHeader(path, "Transfer-Encoding: chunked"))
			for sent := 0; sent < len(body); sent += 64 << 10 {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", 64<<10, body[:64<<10]); err != nil {
					return
				}
			}
		}},
		"bodies far over the limit": {20, func(conn net.Conn, path string) {
			_, _ = io.WriteString(conn, crowdHeader(path, "Transfer-Encoding: chunked"))
			for range 32 {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", 512<<10, body[:512<<10]); err != nil {
					return
				}
			}
		}},
		"very many short fields": {200, func(conn net.Conn, path string) {
			fields := strings.Repeat("a:\r\n", 12000)
			_, _ = io.WriteString(conn, crowdHeader(path, fields+"Content-Length: 1000"))
			_, _ = conn.Write(body[:999])
		}},
		"headers that stop before their end": {300, func(conn net.Conn, path string) {
			header := crowdHeader(path, strings.Repeat("a:\r\n", 6000))
			_, _ = io.WriteString(conn, header[:len(header)-2])
		}},
		"requests sent ahead without reading": {50, func(conn net.Conn, path string) {
			ahead := strings.Repeat(crowdHeader(path, "Content-Length: 0"), 1000)
			_, _ = io.WriteString(conn, ahead)
		}},
		"answers that are not read": {40, func(conn net.Conn, path string) {
			_, _ = io.WriteString(conn, crowdHeader(path, "Content-Length: "+strconv.Itoa(len(body)/4)))
			_, _ = conn.Write(body[:len(body)/4])
		}},
		"bytes that come slowly": {300, func(conn net.Conn, path string) {
			for _, each := range []byte(crowdHeader(path, "Content-Length: 100000")) {
				if _, err := conn.Write([]byte{each}); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}},
		"connections without a request": {1500, func(net.Conn, string) {}},
	}
}

// crowdHeader returns the header of a request with further fields.
func crowdHeader(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nBurdocklink-Request-Id: crowd\r\n" + strings.TrimSuffix(fields, "\r\n") + "\r\n\r\n"
}

// peakMemory returns the most memory that a process has used, in bytes.
func peakMemory(t *testing.T, p *process) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(t, err)
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no peak memory")
	return 0
}

// join connects a crowd and lets its clients send. The returned function ends it.
func (c crowd) join(address, path string) (leave func()) {
	var mutex sync.Mutex
	var connections []net.Conn
	var sending sync.WaitGroup
	for range c.clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(crowdEnd))
			mutex.Lock()
			connections = append(connections, conn)
			mutex.Unlock()
			c.send(conn, path)
		})
	}
	return func() {
		mutex.Lock()
		for _, conn := range connections {
			_ = conn.Close()
		}
		mutex.Unlock()
		sending.Wait()
	}
}

// Guards against clients that end or block a process: an entry on the smallest VM stays
// within its memory, and ordinary callers beside the crowd are served.
func TestCrowdsDontEndAnEntry(t *testing.T) {
	s := newPlatformSite(t)
	s.bodyBytes, s.memoryMb = crowdBodyBytes, crowdMemoryMb
	s.start()
	paths := map[string]struct {
		path   string
		offset int
	}{
		"a route": {"/book/1", frontOffset}, "no route": {"/nowhere/", frontOffset}, "the ready path": {"/api/readiness", readyOffset},
	}
	for name, each := range crowds() {
		for target, at := range paths {
			t.Run(name+" at "+target, func(t *testing.T) {
				leave := each.join(s.address(s.hosts["front-1"], at.offset), at.path)
				asked, served := 0, 0
				for until := time.Now().Add(crowdTime); asked < crowdRequests || time.Now().Before(until); asked++ {
					if s.send("front-1", "/book/2", fmt.Sprintf("%s %s %d", name, target, asked), nil).status == http.StatusOK {
						served++
					}
					time.Sleep(5 * time.Millisecond)
				}
				leave()
				assert.Assert(t, !s.nodes["front-1"].exited(), "the entry has ended")
				peak := peakMemory(t, s.nodes["front-1"])
				t.Logf("%d of %d served, %d MB", served, asked, peak>>20)
				assert.Assert(t, float64(served) >= 0.95*float64(asked), "%d of %d served", served, asked)
				assert.Assert(t, peak < crowdMemoryMb<<20, "%d MB", peak>>20)
				s.awaitReady("front-1")
			})
		}
	}
	// a single request within the limits is served, whatever its size
	large := strings.Repeat("x", crowdBodyBytes)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.hosts["front-1"], frontOffset)+"/book/3", strings.NewReader(large))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("Burdocklink-Request-Id", "large")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, len(answer), len("POST /book/3 ")+crowdBodyBytes)
}
