//go:build review

package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// attempt is one attempt of a caller.
type attempt struct {
	entry, method, path, id string
	header                  map[string]string
	body                    string
	timeout                 time.Duration
	// silence is how long the caller waits for an event; zero for no limit.
	silence time.Duration
}

// reply is what the caller got. Status is 0 if there was no answer.
type reply struct {
	status int
	whole  bool
	lines  []string
	header http.Header
	took   time.Duration
}

// send makes an attempt on a new channel.
func (s *site) send(a attempt) reply {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout+200*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, a.method, "http://"+a.entry+a.path, strings.NewReader(a.body))
	request.Host = "ficu95.example"
	request.Header.Set("Burdocklink-Request-Id", a.id)
	request.Header.Set("Burdocklink-Request-Timeout-Ms", formatMs(a.timeout))
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	var silent *time.Timer
	if a.silence > 0 {
		silent = time.AfterFunc(a.silence, cancel)
		defer silent.Stop()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	got := reply{status: response.StatusCode, header: response.Header}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if silent != nil {
			silent.Reset(a.silence)
		}
		if line = strings.TrimSpace(line); line != "" {
			got.lines = append(got.lines, line)
		}
		if err != nil {
			got.whole = err == io.EOF
			break
		}
	}
	got.took = time.Since(began)
	return got
}
