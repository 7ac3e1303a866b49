//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// lostOrigins lets streams break off between client and entry while servers of two software
// versions serve, and takes each up again at the other entry. Before, one stream is served
// whose request ID holds a byte that is not UTF-8. Only that differs without the trouble.
func lostOrigins(r *record) (int, error) {
	s, err := newDeployment(r, 2, 3, 4)
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
	first, second := s.entries()[0], s.entries()[1]
	id := "9c41d07be2a35f6e"
	if troubled() {
		id = "9c41d07be2a35f6\xe9"
	}
	status, events, _ := beginStream(first, id, "", "", 1000)
	r.printf("client: one stream with request ID %q at %s: status %d, %d events", id, first.name, status, events)
	time.Sleep(time.Second)
	began, continued, refused := 0, 0, map[int]int{}
	const streams = 20
	for range streams {
		id := newID()
		status, _, last := beginStream(first, id, "", "", 5)
		if status != http.StatusOK || last == 0 {
			continue
		}
		began++
		// the channel was reset; the requester tries again at another node
		status, events, _ = beginStream(second, newID(), id, fmt.Sprint(last), 1000)
		if status == http.StatusOK && events > 0 {
			continued++
		} else {
			refused[status]++
		}
	}
	r.printf("of %d new streams %d began; of these %d went on at %s after their channel broke; others by status %v", streams, began, continued, second.name, refused)
	if began < 12 {
		return failed, fmt.Errorf("only %d streams began", began)
	}
	if float64(continued)/float64(began) < 0.5*float64(began)/streams {
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
