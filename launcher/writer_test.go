package launcher

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (b *blockedOutput) Write(data []byte) (int, error) {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

func (b *blockedOutput) lines() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	log := NewLogger(zapcore.InfoLevel, w)
	// this blocks forever if a single line blocks
	for range 3 * maxQueuedLines {
		log.Info("request")
	}
	close(out.release)
	w.Close()
	lines := out.lines()
	assert.Assert(t, len(lines) <= maxQueuedLines+2)
	var last struct {
		Msg   string
		Lines int
	}
	dropped := 0
	for _, line := range lines {
		assert.NilError(t, json.Unmarshal([]byte(line), &last), line)
		dropped += last.Lines
	}
	assert.Assert(t, dropped >= 2*maxQueuedLines-1, "%d", dropped)
}

// TestVolumeIsBounded writes ten times the allowed rate for a minute.
func TestVolumeIsBounded(t *testing.T) {
	w := &Writer{tokens: lineBurst, refilledAt: time.Time{}}
	now := time.Time{}
	written := 0
	for range 10 * int(lineRate) * 60 {
		now = now.Add(time.Second / time.Duration(10*lineRate))
		if w.allow(now) {
			written++
		}
	}
	assert.Assert(t, written <= int(lineBurst+60*lineRate)+1, "%d", written)
	assert.Assert(t, written >= int(60*lineRate), "%d", written)
}

func TestLinesAreObjectsWithTheirFields(t *testing.T) {
	var text bytes.Buffer
	w := NewWriter(&text)
	NewLogger(zapcore.InfoLevel, w).Info("request", zap.String("request-id", "r1"))
	w.Close()
	var line map[string]any
	assert.NilError(t, json.Unmarshal(text.Bytes(), &line))
	assert.Equal(t, line["msg"], "request")
	assert.Equal(t, line["request-id"], "r1")
}
