package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standardCase returns a standard case of a deployment with a shorter length.
func standardCase(t *testing.T, d Deployment, name string, length time.Duration) Case {
	t.Helper()
	for _, c := range Cases(d, 1) {
		if c.Name == name {
			c.Length = length
			return c
		}
	}
	t.Fatalf("no case %s", name)
	return Case{}
}

func TestCalmCaseEndsWithoutMoves(t *testing.T) {
	for _, d := range []Deployment{Cukorvirag(), Carbono()} {
		t.Run(d.Name, func(t *testing.T) {
			result := Run(standardCase(t, d, "calm", 45*time.Second), Default)
			assert.Equal(t, result.MoveCount(), 0)
			assert.Equal(t, result.Total.Lost, 0)
		})
	}
}

func TestHeavySubscribersDoNotCrowdOutTheOthers(t *testing.T) {
	const points = 0.05
	d := Cukorvirag()
	even := Run(standardCase(t, d, "even-subscribers", 45*time.Second), Default)
	heavy := Run(standardCase(t, d, "heavy-subscribers", 45*time.Second), Default)
	assert.Assert(t, heavy.Light.Attainment() >= even.Light.Attainment()-points,
		"attainment %.4f with heavy subscribers, %.4f without", heavy.Light.Attainment(), even.Light.Attainment())
	assert.Equal(t, heavy.Total.Lost, 0)
	assert.Equal(t, heavy.Total.Doubled, 0)
}

func TestMovesImproveAttainmentAfterAShift(t *testing.T) {
	c := standardCase(t, Cukorvirag(), "shift", 3*time.Minute)
	moved := Run(c, Default)
	assert.Equal(t, moved.Overcommitted, int64(0))
	static := Run(c, StaticPlacement)
	assert.Assert(t, moved.Total.Attainment() > static.Total.Attainment(),
		"attainment %.4f with moves, %.4f without", moved.Total.Attainment(), static.Total.Attainment())
}
