package encoder_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/quarantiner"
)

func TestCrashesAreDecodedAtTheirAge(t *testing.T) {
	sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	received := sent.Add(time.Hour)
	crashes := []quarantiner.Crash{
		{Upstream: "u1@1", Parts: []string{"a", "d"}, Harmless: []string{"a"}, At: sent.Add(-1500 * time.Millisecond)},
		{Upstream: "u2@1", Parts: []string{"d"}, At: sent},
		{Upstream: "u3@1", Fingerprint: "f", Harmless: []string{"f"}, Repeated: true, At: sent},
	}
	got := encoder.DecodeCrashes(encoder.EncodeCrashes(crashes, sent), received)
	for i := range crashes {
		crashes[i].At = crashes[i].At.Add(time.Hour)
	}
	assert.DeepEqual(t, got, crashes)
}

func TestCrashAgeIsBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		age  int64
		want time.Time
	}{
		"future":  {-1, now},
		"minimum": {math.MinInt64, now},
		"maximum": {math.MaxInt64, now.Add(-24 * time.Hour)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := encoder.DecodeCrashes([]*wire.PromptCrash{{AgeMs: c.age}}, now)
			assert.Equal(t, got[0].At, c.want)
		})
	}
}

func TestRostersAreDecodedAtTheirAge(t *testing.T) {
	sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	received := sent.Add(time.Hour)
	rosters := []quarantiner.Roster{
		{Upstream: "u1@1", Suspects: []quarantiner.Suspect{{ID: 1, Events: 3}, {ID: math.MaxUint64, Events: 40, Outlived: math.MaxInt32}}, At: sent.Add(-1500 * time.Millisecond)},
		{Upstream: "u2@1", At: sent},
	}
	got := encoder.DecodeRosters(encoder.EncodeRosters(rosters, sent), received)
	for i := range rosters {
		rosters[i].At = rosters[i].At.Add(time.Hour)
	}
	assert.DeepEqual(t, got, rosters)
}

// Messages whose lists differ in length, or with numbers out of range, must not end an entry.
func TestMalformedRostersAreDecoded(t *testing.T) {
	message := &wire.CrashRoster{Upstream: "u1", AgeMs: -5, Suspects: []uint64{1, 2}, Events: []uint32{math.MaxUint32}}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	got := encoder.DecodeRosters([]*wire.CrashRoster{message, nil}, now)
	assert.DeepEqual(t, got[0], quarantiner.Roster{
		Upstream: "u1", Suspects: []quarantiner.Suspect{{ID: 1, Events: math.MaxInt32}, {ID: 2}}, At: now,
	})
}
