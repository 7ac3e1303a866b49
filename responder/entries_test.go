package responder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder/wire"
)

func TestMessagesToManyEntriesDoNotPressTheLeader(t *testing.T) {
	cases := map[string]struct {
		entries    int
		beat, tell time.Duration
	}{
		"few":     {7, 250 * time.Millisecond, 50 * time.Millisecond},
		"seventy": {70, 500 * time.Millisecond, 500 * time.Millisecond},
		"many":    {890, longestBeat, longestBeat},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{Pulse: 250 * time.Millisecond})
			now := time.Now()
			for at := range c.entries {
				said := &wire.FollowRequest{Entry: fmt.Sprint(at), Address: fmt.Sprint(at)}
				r.entries.put(said, nil, now)
			}
			addresses, _ := r.entries.peers(now)
			assert.Equal(t, len(addresses), c.entries)
			assert.Equal(t, r.beatTime(), c.beat)
			assert.Equal(t, r.TellTime(), c.tell)
		})
	}
}
