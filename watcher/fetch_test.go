package watcher

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestSoundItemsOfAListHoldBesideOddOnes(t *testing.T) {
	vm := func(name, more string) string {
		return `{"name":"` + name + `","incarnation":"1","address":"127.0.0.1:80","service":"s","kind":"engine","state":"live"` + more + `}`
	}
	cases := map[string]string{
		"deep":             strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"other type":       `{"name":7}`,
		"unknown kind":     strings.Replace(vm("odd", ""), "engine", "toaster", 1),
		"no incarnation":   strings.Replace(vm("odd", ""), `"incarnation":"1",`, "", 1),
		"port too large":   strings.Replace(vm("odd", ""), ":80", ":70000", 1),
		"slots too large":  vm("odd", `,"slots":9007199254740993`),
		"negative memory":  vm("odd", `,"memory-bytes":-1`),
		"name used before": vm("a", ""),
		"long name":        vm(strings.Repeat("x", 5000), ""),
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "["+vm("a", "")+","+odd+","+vm("b", "")+"]")
			}))
			defer server.Close()
			w := New(Settings{Platform: server.URL, Store: server.URL, Log: zap.NewNop()})
			upstreams, err := w.fetchVMs(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(upstreams), 2)
			assert.Equal(t, upstreams[0].Name+upstreams[1].Name, "ab")
		})
	}
}

func TestListWithInvalidHeadIsNotUsed(t *testing.T) {
	heads := map[string]string{
		"status":     "HTTP/1.1 000 Trouble\r\n",
		"field name": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
		"joined":     "HTTP/1.1 200 OK\r\nOdd: 1\r\n Content-Length: 5\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, head+"\r\n[]")
				_ = conn.Close()
			}))
			defer server.Close()
			w := New(Settings{Platform: server.URL, Store: server.URL, Log: zap.NewNop()})
			_, err := w.fetchVMs(t.Context())
			assert.ErrorType(t, err, &ListError{})
		})
	}
}
