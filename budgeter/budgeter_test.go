package budgeter_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/budgeter"
)

const mebibyte = 1 << 20

var start = time.Unix(1000, 0)

// Guards against large bodies that leave no room for ordinary requests.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := budgeter.New(8 * mebibyte)
	var full *budgeter.FullError
	large := 0
	for {
		err := b.Open(start, nil).Reserve(start, mebibyte, mebibyte)
		if errors.As(err, &full) {
			break
		}
		large++
	}
	assert.Equal(t, large, 6)
	for range 1000 {
		assert.NilError(t, b.Open(start, nil).Reserve(start, 2<<10, 1500))
	}
}

// Guards against bodies that stop short of their end and keep others out, and against honest
// ones that are given up although there is room.
func TestTheSlowestBodiesAreGivenUpFirst(t *testing.T) {
	b := budgeter.New(8 * mebibyte)
	evicted := map[string]bool{}
	open := func(name string, received int64) *budgeter.Body {
		body := b.Open(start, func() { evicted[name] = true })
		assert.NilError(t, body.Reserve(start, 2*mebibyte, received))
		return body
	}
	open("stopped", 2*mebibyte-1)
	slow, fast := open("slow", 1000), open("fast", 1000)
	later := start
	for received := int64(1000); later.Before(start.Add(2 * time.Second)); {
		later, received = later.Add(100*time.Millisecond), received+50<<10
		fast.Advance(later, received)
		slow.Advance(later, 1000+later.Sub(start).Milliseconds())
	}
	assert.Equal(t, len(evicted), 0)
	assert.NilError(t, b.Open(later, nil).Reserve(later, 2*mebibyte, 0))
	assert.DeepEqual(t, evicted, map[string]bool{"stopped": true})
	assert.NilError(t, b.Open(later, nil).Reserve(later, 2*mebibyte, 0))
	assert.DeepEqual(t, evicted, map[string]bool{"stopped": true, "slow": true})
	var full *budgeter.FullError
	assert.Assert(t, errors.As(b.Open(later, nil).Reserve(later, 2*mebibyte, 0), &full))
	assert.Equal(t, len(evicted), 2, "a body that arrives fast is kept")
}

// Guards against a budget that is exceeded, or that loses bytes for good, over random bodies.
func TestTheBudgetHolds(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 3))
		b := budgeter.New(mebibyte)
		now := start
		var bodies []*budgeter.Body
		for range 200 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			switch {
			case len(bodies) == 0 || random.IntN(3) == 0:
				bodies = append(bodies, b.Open(now, func() {}))
			case random.IntN(3) == 0:
				i := random.IntN(len(bodies))
				bodies[i].Release()
				bodies = append(bodies[:i], bodies[i+1:]...)
			default:
				size := int64(1 + random.IntN(300<<10))
				_ = bodies[random.IntN(len(bodies))].Reserve(now, size, random.Int64N(size))
			}
			used, _ := b.Used()
			assert.Assert(t, used >= 0 && used <= mebibyte, "seed %d: %d bytes", seed, used)
		}
		for _, body := range bodies {
			body.Release()
		}
		used, _ := b.Used()
		assert.Equal(t, used, int64(0), "seed %d", seed)
	}
}

func TestReadAllReturnsTheWholeBody(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 50000)
	cases := map[string]struct {
		source   io.Reader
		expected int64
	}{
		"announced":          {bytes.NewReader(content), int64(len(content))},
		"not announced":      {bytes.NewReader(content), -1},
		"in pieces":          {iotest.HalfReader(bytes.NewReader(content)), int64(len(content))},
		"byte by byte":       {iotest.OneByteReader(bytes.NewReader(content)), -1},
		"end with the bytes": {iotest.DataErrReader(bytes.NewReader(content)), int64(len(content))},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := budgeter.New(8 * mebibyte)
			body := b.Open(time.Now(), nil)
			got, err := body.ReadAll(c.source, c.expected)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, content))
			used, _ := b.Used()
			assert.Assert(t, used >= int64(len(content)) && used <= 2*int64(len(content)), "%d bytes", used)
			if c.expected > 0 {
				assert.Assert(t, used <= c.expected+1, "%d bytes", used)
			}
			body.Release()
			used, _ = b.Used()
			assert.Equal(t, used, int64(0))
		})
	}
}

// Guards against memory that is taken for what was announced and never sent.
func TestAnnouncedBytesTakeNoMemory(t *testing.T) {
	b := budgeter.New(8 * mebibyte)
	body := b.Open(time.Now(), nil)
	_, err := body.ReadAll(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(make([]byte, 100)))), 4*mebibyte)
	assert.ErrorIs(t, err, iotest.ErrTimeout)
	used, _ := b.Used()
	assert.Equal(t, used, int64(2<<10))
}

// Guards against a body whose memory others got and that is read on.
func TestAGivenUpBodyIsNotRead(t *testing.T) {
	b := budgeter.New(8 * mebibyte)
	source, sender := io.Pipe()
	body := b.Open(start, func() { _ = source.CloseWithError(io.ErrUnexpectedEOF) })
	result := make(chan error, 1)
	go func() {
		_, err := body.ReadAll(source, 4*mebibyte)
		result <- err
	}()
	_, err := sender.Write(make([]byte, 3*mebibyte))
	assert.NilError(t, err)
	later := start.Add(time.Hour)
	for {
		if err := b.Open(later, nil).Reserve(later, 4*mebibyte, 0); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	var evicted *budgeter.EvictedError
	assert.Assert(t, errors.As(<-result, &evicted))
}
