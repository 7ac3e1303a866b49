//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["stopped"] = stopped
	cases["parts"] = parts
}

// crowdConfiguration has a streaming route to engines and one of plain requests.
func crowdConfiguration(models []string) string {
	return `{"version":7,"routes":[{"name":"r-9n73hh2","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":15000,
"targetLatencyMs":500,"priority":1,"service":"huvo11a","maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":250},
{"name":"r-b9wu3fe","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":1}],
"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,` + fmt.Sprintf(engineText, modelsText(models)) + `},
{"name":"wuno96b","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
}

// startCrowdSite starts 12 engines, 3 plain servers, 3 control members and 3 entries.
func startCrowdSite(s *site, models []string, events int, booked func(id string)) {
	for i := range 12 {
		s.servers.add("huvo11a", zones[i%3], true, "v1", []string{models[2*i%4], models[(2*i+1)%4]}, func(r *run) {
			r.stream(60*time.Millisecond, 25*time.Millisecond, events, "a menu", nil)
		})
	}
	for i := range 3 {
		s.servers.add("wuno96b", zones[i], false, "v1", nil, func(r *run) {
			booked(r.request)
			sleep(r, 60*time.Millisecond)
			_, _ = io.WriteString(r.w, "booked "+string(r.body))
		}).slots = 30
	}
	s.startAll(3, crowdConfiguration(models))
	time.Sleep(3 * time.Second)
}

// dialFrom opens a channel from a source address.
func dialFrom(source, to string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return dialer.Dial("tcp", to)
}

// stopped: a crowd of clients sends bodies of legal size which stop just short of their end, and
// stay open. Beside it, ordinary callers open new channels at the same entry.
func stopped(s *site, trouble bool) (bool, string) {
	const clients, sources, callers = 1200, 6, 8
	const calm, length = 5 * time.Second, 22 * time.Second
	models := []string{"daka510000", "rada7437b5", "ravo486f6a", "nymi57a71f"}
	var runs atomic.Int64
	startCrowdSite(s, models, 20, func(id string) { runs.Add(1); s.add("request %s runs", id) })
	entry := s.fronts[0]
	crowdFrom, end := time.Now().Add(calm), time.Now().Add(calm+length)
	var joined, closed atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		if !trouble {
			break
		}
		all.Go(func() {
			time.Sleep(time.Until(crowdFrom) + time.Duration(i)*time.Millisecond)
			crowdClient(s, entry, fmt.Sprintf("127.%d.2.%d", s.net, i%sources+1), end, &joined, &closed)
		})
	}
	var mutex sync.Mutex
	type outcome struct {
		began, ended time.Time
		taken        bool
	}
	var outcomes []outcome
	var readyAsked, readySaid atomic.Int64
	for i := range callers {
		all.Go(func() {
			source := fmt.Sprintf("127.%d.3.%d", s.net, i+1)
			for time.Now().Before(end) {
				began, id := time.Now(), s.newID()
				status := book(source, entry, id)
				mutex.Lock()
				outcomes = append(outcomes, outcome{began, time.Now(), status != 0})
				mutex.Unlock()
				s.add("caller %s: request %s: status %d", source, id, status)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	all.Go(func() {
		for time.Now().Before(end) {
			readyAsked.Add(1)
			if s.ready(0) {
				readySaid.Add(1)
			}
			s.add("ready path: %d of %d said yes; crowd: %d joined, %d closed by the entry", readySaid.Load(), readyAsked.Load(), joined.Load(), closed.Load())
			time.Sleep(time.Second)
		}
	})
	all.Wait()
	// the longest time in which no channel was taken
	var longest time.Duration
	var asked, taken int
	last := crowdFrom
	for _, each := range outcomes {
		if each.began.Before(crowdFrom) {
			continue
		}
		asked++
		if each.taken {
			taken++
			longest = max(longest, each.ended.Sub(last))
			last = each.ended
		}
	}
	longest = max(longest, end.Sub(last))
	readyAll := readySaid.Load() == readyAsked.Load()
	return longest > contactTime && readyAll, fmt.Sprintf("%d ordinary attempts beside the crowd, %d answered; no new channel was taken for %.1f s (contactMs is 3 s) while the entry said %d times of %d that it is ready; %d channels of the crowd, %d closed by the entry",
		asked, taken, longest.Seconds(), readySaid.Load(), readyAsked.Load(), joined.Load(), closed.Load())
}

// crowdClient sends a request but for the last byte of its body, and waits until its channel is
// closed.
func crowdClient(s *site, entry, source string, end time.Time, joined, closed *atomic.Int64) {
	conn, err := dialFrom(source, entry)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	joined.Add(1)
	id := s.newID()
	_ = conn.SetDeadline(end)
	_, _ = fmt.Fprintf(conn, "POST /lohu930/%s HTTP/1.1\r\nHost: ficu95.example\r\nBurdocklink-Request-Id: %s\r\nBurdocklink-Model: daka510000\r\n"+
		"Burdocklink-Token-Count: 460,60\r\nBurdocklink-Request-Timeout-Ms: 15000\r\nContent-Length: 2900\r\n\r\n%s", id[12:], id, strings.Repeat("x", 2899))
	if _, err := conn.Read(make([]byte, 1)); err == nil || err == io.EOF {
		closed.Add(1)
	}
}

// book makes one plain request on a new channel. It returns 0 if there was no answer.
func book(source, entry, id string) int {
	conn, err := dialFrom(source, entry)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = fmt.Fprintf(conn, "POST /puxa403/%s HTTP/1.1\r\nHost: ficu95.example\r\nBurdocklink-Request-Id: %s\r\n"+
		"Burdocklink-Request-Timeout-Ms: 1500\r\nContent-Length: 4\r\n\r\nslot", id[12:], id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// parts: many clients at once send requests that are legal in size and whose field of prompt parts
// is made of very many short ones.
func parts(s *site, trouble bool) (bool, string) {
	const clients, sources, length = 900, 6, 30 * time.Second
	const headerBytes, memoryMb = 16384, 284
	models := []string{"daka510000", "rada7437b5", "ravo486f6a", "nymi57a71f"}
	startCrowdSite(s, models, 40, func(string) {})
	entry, process := s.fronts[0], s.processes["front-bp-a-1"]
	before := memory(process, "VmHWM:")
	end := time.Now().Add(length)
	var sent, answered atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		if !trouble && i >= 30 {
			break
		}
		all.Go(func() {
			for time.Now().Before(end) && !process.ended.Load() {
				id := s.newID()
				header := fmt.Sprintf("POST /lohu930/%s HTTP/1.1\r\nHost: ficu95.example\r\nBurdocklink-Request-Id: %s\r\nBurdocklink-Model: %s\r\n"+
					"Burdocklink-Token-Count: 4000,120\r\nBurdocklink-Request-Timeout-Ms: 15000\r\nContent-Length: 4\r\nBurdocklink-Prompt-Prefix: ", id[12:], id, models[rand.IntN(4)])
				var text bytes.Buffer
				text.WriteString(header)
				limit := 300
				if trouble {
					limit = headerBytes - len(header) - 24
				}
				for n := 0; text.Len() < len(header)+limit; n++ {
					fmt.Fprintf(&text, "%x:1,", n%16)
				}
				fmt.Fprintf(&text, "%s:1\r\n\r\nmenu", id)
				conn, err := dialFrom(fmt.Sprintf("127.%d.2.%d", s.net, i%sources+1), entry)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(16 * time.Second))
				_, _ = conn.Write(text.Bytes())
				sent.Add(1)
				status := 0
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					answered.Add(1)
					status = response.StatusCode
					_, _ = io.Copy(io.Discard, response.Body)
				}
				s.add("client: request %s with a header of %d bytes: status %d", id, text.Len()-4, status)
				_ = conn.Close()
			}
		})
	}
	for time.Now().Before(end) && !process.ended.Load() {
		time.Sleep(500 * time.Millisecond)
		s.add("entry: %d MB now, %d MB at most", memory(process, "VmRSS:")>>20, memory(process, "VmHWM:")>>20)
	}
	peak := memory(process, "VmHWM:")
	all.Wait()
	peak = max(peak, memory(process, "VmHWM:"))
	broken := process.ended.Load() || peak > memoryMb<<20
	return broken, fmt.Sprintf("the entry used %d MiB at most (memoryMb is %d; %d MiB before), ended %v; %d requests sent, %d answered",
		peak>>20, memoryMb, before>>20, process.ended.Load(), sent.Load(), answered.Load())
}

// memory returns a figure of a process's memory in bytes.
func memory(p *process, field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, field); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
