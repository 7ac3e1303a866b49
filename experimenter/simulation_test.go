package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortCase returns a short case at half load without disturbances.
func shortCase(d Deployment) Case {
	return Case{
		Name: "brief", Deployment: d, Seed: 3, Load: 0.5,
		Warmup: 5 * time.Second, Length: 20 * time.Second,
	}
}

func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy.String(), func(t *testing.T) {
			result := Run(shortCase(Carbono()), policy)
			assert.Assert(t, result.Total.Requests > 100)
			assert.Equal(t, result.Total.Lost, 0)
			assert.Equal(t, result.Total.Doubled, 0)
			assert.Equal(t, result.Overcommitted, int64(0))
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	c := shortCase(Cukorvirag())
	assert.DeepEqual(t, Run(c, Default), Run(c, Default))
}
