package forwarder_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/historian"
	"burdocklink/matcher"
	"burdocklink/router"
)

// streams is a memory of streams with a fixed answer.
type streams struct {
	mutex sync.Mutex
	begun map[string]router.Stream
	// found is the answer to all searches unless err is set; sought are the IDs.
	found  router.Stream
	err    error
	sought []string
}

func (s *streams) Begun(id string, stream router.Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.begun[id] = stream
}

func (s *streams) Find(_ context.Context, id string, _ []string) (router.Stream, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sought = append(s.sought, id)
	return s.found, s.err
}

func TestTakenUpStreamGoesOnOnlyAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	origin := router.Stream{Service: "s", Origin: router.Origin{Software: "v1", Incarnation: "x@1"}}
	software := map[string]string{"u1": "v1.1", "u2": "v1"}
	takeUp := map[string]string{"Id": "r2", "After": "2", "Resumes": "r1"}
	cases := map[string]struct {
		header   map[string]string
		found    router.Stream
		err      error
		software map[string]string
		status   int
		body     string
		// retries is set if the caller is told when to come back.
		retries bool
		sought  []string
	}{
		"version known":                {takeUp, origin, nil, software, 200, eventText(3, 5), false, []string{"r1"}},
		"no upstream of it":            {takeUp, origin, nil, map[string]string{"u1": "v1.1", "u2": "v1.1"}, 503, "", false, []string{"r1"}},
		"version unknown":              {takeUp, router.Stream{}, &historian.UnknownOriginError{}, software, 503, "", false, []string{"r1"}},
		"no leader to ask":             {takeUp, router.Stream{}, &historian.UnknownOriginError{RetryAt: time.Now().Add(time.Hour)}, software, 503, "", true, []string{"r1"}},
		"of a service that is gone":    {takeUp, router.Stream{Service: "t", Origin: origin.Origin}, nil, software, 503, "", false, []string{"r1"}},
		"origin not named":             {map[string]string{"After": "2"}, router.Stream{}, &historian.UnknownOriginError{}, software, 503, "", false, []string{""}},
		"new request":                  {map[string]string{"Id": "r1"}, origin, nil, software, 200, eventText(1, 5), false, nil},
		"new request, no event so far": {map[string]string{"After": "0"}, origin, nil, software, 200, eventText(1, 5), false, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := &streams{begun: map[string]router.Stream{}, found: c.found, err: c.err}
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}, events(1, 5, true), events(1, 5, true))
			r.forwarder.Streams, r.admission.software = memory, c.software
			started := time.Now()
			got := r.ask(http.MethodPost, "/x/1", "", c.header)
			assert.Assert(t, time.Since(started) < time.Second)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, got.header.Get("Retry-After") != "", c.retries)
			assert.DeepEqual(t, memory.sought, c.sought)
			if c.status != http.StatusOK {
				assert.Equal(t, r.runs.Load(), int32(0))
				return
			}
			want := router.Stream{Service: "s", Origin: router.Origin{Software: software["u1"], Incarnation: "u1@1"}}
			if c.sought != nil {
				want = origin
			}
			assert.Equal(t, memory.begun["r1"], want)
		})
	}
}

func TestStreamDoesNotGoOnAtAnotherSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		software map[string]string
		// broken are the events of the first upstream before it breaks off.
		broken   int
		complete bool
		runs     int32
	}{
		"another upstream of the version": {map[string]string{"u1": "v1", "u2": "v1.1", "u3": "v1"}, 2, true, 2},
		"no other upstream of it":         {map[string]string{"u1": "v1", "u2": "v1.1", "u3": "v1.1"}, 2, false, 1},
		"no event yet":                    {map[string]string{"u1": "v1", "u2": "v1.1", "u3": "v1"}, 0, true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3},
				events(1, c.broken, false), events(1, 5, true), events(1, 5, true))
			r.admission.software = c.software
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.Equal(t, got.err == nil, c.complete)
			if c.complete {
				assert.Equal(t, got.body, eventText(1, 5))
			}
			assert.Equal(t, r.runs.Load(), c.runs)
			if c.broken > 0 && c.complete {
				assert.Equal(t, r.admission.next, 3)
			}
		})
	}
}

func TestStreamDoesNotGoOnAtAnEngineThatStartedAgainUnderItsName(t *testing.T) {
	cases := map[string]struct {
		incarnation string
		err         error
		next        int
	}{
		"as listed":       {"u2@1", nil, 2},
		"started again":   {"u2@2", nil, 3},
		"does not report": {"", context.DeadlineExceeded, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3},
				events(1, 2, false), events(1, 5, true), events(1, 5, true))
			r.admission.software = map[string]string{"u1": "v1", "u2": "v1", "u3": "v1"}
			var asked []string
			r.forwarder.Identify = func(_ context.Context, choice router.Choice) (string, error) {
				asked = append(asked, choice.Upstream)
				if choice.Upstream == "u2" {
					return c.incarnation, c.err
				}
				return choice.Incarnation, nil
			}
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 5))
			assert.Equal(t, r.admission.next, c.next)
			assert.Equal(t, r.runs.Load(), int32(2))
			assert.Equal(t, asked[0], "u2")
		})
	}
}
