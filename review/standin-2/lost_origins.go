//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lostOrigins lets half of the channels at one of three entries be reset while servers of two
// software versions serve, and takes the streams on them up again at the other entries. Before,
// one stream is served whose request ID holds a byte that is not UTF-8. Only that differs without
// the trouble.
func lostOrigins(r *record) (int, error) {
	s, err := newDeployment(r, 3, 3, 4)
	if err != nil {
		return failed, err
	}
	defer s.stop()
	for i, each := range s.servers[:4] {
		each.version = []string{"v1", "v2"}[i%2]
		each.events, each.eventGap = 60, 40*time.Millisecond
	}
	resumable := configuration(7)
	resumable["routes"].([]map[string]any)[0]["resumable"] = true
	if err := s.start(resumable); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	first := s.entries()[0]
	id := "9c41d07be2a35f6e"
	if troubled() {
		id = "9c41d07be2a35f6\xe9"
	}
	status, events, _ := beginStream(first, id, "", "", 1000)
	r.printf("client: one stream with request ID %q at %s: status %d, %d events", id, first.name, status, events)
	time.Sleep(time.Second)
	const streams = 40
	var group sync.WaitGroup
	var mutex sync.Mutex
	began, broke, continued, refused := 0, 0, 0, map[int]int{}
	for number := range streams {
		group.Add(1)
		go func() {
			defer group.Done()
			limit := 1000
			if number%2 == 0 {
				limit = 10
			}
			id := newID()
			status, events, last := beginStream(first, id, "", "", limit)
			mutex.Lock()
			defer mutex.Unlock()
			if status != http.StatusOK || events == 0 {
				return
			}
			began++
			if limit == 1000 {
				return
			}
			broke++
			mutex.Unlock()
			// the channel was reset; the requester tries once more, at another node
			status, events, _ = beginStream(s.entries()[1+number/2%2], newID(), id, fmt.Sprint(last), 1000)
			mutex.Lock()
			if status == http.StatusOK && events > 0 {
				continued++
			} else {
				refused[status]++
			}
		}()
	}
	group.Wait()
	r.printf("of %d new streams %d began; the channels of %d were reset and their streams taken up at another entry, where %d went on; others by status %v", streams, began, broke, continued, refused)
	if broke < 12 {
		return failed, fmt.Errorf("only %d streams were taken up", broke)
	}
	if float64(continued)/float64(broke) < 0.5*float64(began)/streams {
		return broken, nil
	}
	return held, nil
}

// beginStream asks for a stream and closes the channel after some events. It returns the
// status, the number of events and the ID of the last one.
func beginStream(m *machine, id, resumes, after string, limit int) (status, events, last int) {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return 0, 0, 0
	}
	defer func() {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	fields := []string{
		"POST /draft/1 HTTP/1.1", "Host: " + host, "Burdocklink-Request-Id: " + id, "Burdocklink-Request-Timeout-Ms: 9000",
		"Burdocklink-Model: daka510000", "Burdocklink-Token-Count: 600,180", "Burdocklink-Prompt-Prefix: a1:300,b2:300", "Content-Length: 2",
	}
	if resumes != "" {
		fields = append(fields, "Resumes: "+resumes, "Last-Event-Id: "+after)
	}
	if _, err := io.WriteString(conn, strings.Join(fields, "\r\n")+"\r\n\r\n{}"); err != nil {
		return 0, 0, 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, 0
	}
	lines := bufio.NewScanner(response.Body)
	for events < limit && lines.Scan() {
		var number int
		if n, _ := fmt.Sscanf(lines.Text(), "id: %d", &number); n == 1 {
			events, last = events+1, number
		}
	}
	return response.StatusCode, events, last
}
