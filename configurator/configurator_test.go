package configurator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/conductor"
	"burdocklink/configurator"
	"burdocklink/matcher"
)

// group is a control member that leads or knows the leader.
type group struct {
	// mutex serialises proposals, as the member's loop does.
	mutex  sync.Mutex
	state  *applier.State
	index  uint64
	status conductor.Status
	// err is returned by proposals and confirmations.
	err error
}

func (g *group) Propose(_ context.Context, command applier.Command) (applier.Applied, error) {
	if g.err != nil {
		return applier.Applied{}, g.err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index++
	return g.state.Apply(g.index, time.Now(), command), nil
}

func (g *group) Confirm(context.Context) (uint64, error) { return g.state.Catalog().Revision, g.err }

func (g *group) Read(_ context.Context, read func(*applier.State)) error {
	read(g.state)
	return nil
}

func (g *group) Status() conductor.Status { return g.status }

func identity(data []byte) ([]byte, error) { return data, nil }

// decode parses a text such as "7 valid".
func decode(data []byte) (*matcher.Configuration, error) {
	version, rest, _ := strings.Cut(string(data), " ")
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, err
	}
	c := &matcher.Configuration{Version: number}
	if rest != "valid" {
		c.Routes = []matcher.Route{{Name: "r", Split: []matcher.WeightedService{{Service: "unknown", Weight: 1}}}}
	}
	return c, nil
}

func serve(t *testing.T, g *group) string { return serveWith(t, g, decode) }

func serveWith(t *testing.T, g *group, decode func([]byte) (*matcher.Configuration, error)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	c := configurator.New(configurator.Settings{
		Listen: address, Group: g, Log: zap.NewNop(),
		Codec:     configurator.Codec{PathPut: "/put", PathGet: "/get", Decode: decode, Pack: identity, Unpack: identity},
		Operators: func(member string) string { return member + ":1" },
	})
	assert.NilError(t, c.Start(t.Context(), nil))
	t.Cleanup(func() { _ = c.Stop(time.Now().Add(time.Second)) })
	return "http://" + address
}

func newLeader() *group {
	return &group{state: applier.New(), status: conductor.Status{Member: "a", Leader: "a", Leading: true}}
}

func call(t *testing.T, method, url, body string) (int, string, http.Header) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data), response.Header
}

// putStep is one call that stores a configuration, and what is stored after it.
type putStep struct {
	put    string
	status int
	stored string
}

func TestHighestVersionWins(t *testing.T) {
	url := serve(t, newLeader())
	steps := []putStep{
		{"5 valid", 200, "5 valid"},
		{"5 valid", 200, "5 valid"},
		{"3 valid", 200, "5 valid"},
		{"9 valid", 200, "9 valid"},
		{"9 invalid", 400, "9 valid"},
		{"12 invalid", 400, "9 valid"},
		{"unreadable", 400, "9 valid"},
		{"0 valid", 400, "9 valid"},
	}
	status, _, _ := call(t, http.MethodGet, url+"/get", "")
	assert.Equal(t, status, 503)
	for _, step := range steps {
		status, _, _ := call(t, http.MethodPost, url+"/put", step.put)
		assert.Equal(t, status, step.status, step.put)
		status, stored, _ := call(t, http.MethodGet, url+"/get", "")
		assert.Equal(t, status, 200)
		assert.Equal(t, stored, step.stored)
	}
}

func TestFollowersRedirectToTheLeader(t *testing.T) {
	g := newLeader()
	g.status.Leader = "b"
	url := serve(t, g)
	for path, method := range map[string]string{"/put": http.MethodPost, "/get": http.MethodGet} {
		status, _, header := call(t, method, url+path, "5 valid")
		assert.Equal(t, status, http.StatusTemporaryRedirect)
		assert.Equal(t, header.Get("Location"), "http://b:1"+path)
	}
	assert.Equal(t, g.state.Catalog().Configuration.Version, uint64(0))
}

func TestUnconfirmedCallsFail(t *testing.T) {
	g := newLeader()
	url := serve(t, g)
	status, _, _ := call(t, http.MethodPost, url+"/put", "5 valid")
	assert.Equal(t, status, 200)
	g.err = &conductor.NotLeaderError{}
	for path, method := range map[string]string{"/put": http.MethodPost, "/get": http.MethodGet} {
		status, _, _ := call(t, method, url+path, "6 valid")
		assert.Equal(t, status, 503)
	}
}

// decoder counts decoded configurations and the most that were decoded
// concurrently.
type decoder struct {
	running, most, total atomic.Int64
}

// decodeTime makes calls overlap.
const decodeTime = 20 * time.Millisecond

func (d *decoder) decode(data []byte) (*matcher.Configuration, error) {
	d.total.Add(1)
	running := d.running.Add(1)
	defer d.running.Add(-1)
	for most := d.most.Load(); running > most && !d.most.CompareAndSwap(most, running); most = d.most.Load() {
		continue
	}
	time.Sleep(decodeTime)
	return decode(data)
}

func TestConfigurationsAreDecodedOneAtATime(t *testing.T) {
	var d decoder
	url := serveWith(t, newLeader(), d.decode)
	var ended sync.WaitGroup
	const calls = 8
	for at := range calls {
		ended.Go(func() {
			status, _, _ := call(t, http.MethodPost, url+"/put", strconv.Itoa(at+1)+" valid")
			assert.Check(t, status == http.StatusOK)
		})
	}
	ended.Wait()
	assert.Equal(t, d.total.Load(), int64(calls))
	assert.Equal(t, d.most.Load(), int64(1))
}

func TestFollowersRedirectWithoutDecoding(t *testing.T) {
	var d decoder
	g := newLeader()
	g.status.Leader = "b"
	url := serveWith(t, g, d.decode)
	status, _, _ := call(t, http.MethodPost, url+"/put", "5 valid")
	assert.Equal(t, status, http.StatusTemporaryRedirect)
	assert.Equal(t, d.total.Load(), int64(0))
}
