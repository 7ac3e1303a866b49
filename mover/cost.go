package mover

import (
	"time"

	"burdocklink/placer"
	"burdocklink/surveyor"
)

const (
	// promptTokensPerStep is how many prompt tokens an engine prefills in the time
	// of one decode step: both times follow from the memory and the arithmetic of
	// the same accelerator.
	promptTokensPerStep = 200.0
	// stepGrowthPerSlot is by how much of the shortest decode step each running
	// request prolongs it.
	stepGrowthPerSlot = 0.01
	// defaultTokenTime is the decode time per token of a model without finished
	// requests, while no other model has any.
	defaultTokenTime = 8200 * time.Microsecond
	// tokenTimeWeight is the weight of a new sample in the decode time of a model.
	tokenTimeWeight = 0.1
	// minMeasuredTokens is the shortest mean answer that shows the decode time.
	minMeasuredTokens = 32
	// costWeight is the weight of a new sample in the mean size of a class.
	costWeight = 0.2
	// defaultCost is the cost of a request of a class without finished
	// requests, in seconds of a fully utilised engine.
	defaultCost = 0.08
)

// requestSize is the mean number of tokens of a request.
type requestSize struct{ promptTokens, answerTokens float64 }

// updateSize updates the mean size of a class from finished requests.
func (m *meter) updateSize(class string, count placer.Count) {
	if count.Ended == 0 {
		return
	}
	ended := float64(count.Ended)
	size := requestSize{float64(count.PromptTokens) / ended, float64(count.AnswerTokens) / ended}
	if before, known := m.sizes[class]; known {
		size.promptTokens = before.promptTokens + costWeight*(size.promptTokens-before.promptTokens)
		size.answerTokens = before.answerTokens + costWeight*(size.answerTokens-before.answerTokens)
	}
	m.sizes[class] = size
}

// updateTokenTime updates the decode time of a model from finished requests for
// it or one of its adapters. What the other requests in the batch and their
// prompts have added is taken off.
func (m *meter) updateTokenTime(name string, count placer.Count) {
	if count.Ended == 0 || count.Busy <= 0 || count.AnswerTokens < minMeasuredTokens*count.Ended {
		return
	}
	base := baseName(name)
	answer := float64(count.AnswerTokens)
	slowdown := 1 + m.concurrency[base]*(stepGrowthPerSlot+float64(count.PromptTokens)/answer/promptTokensPerStep)
	sample := count.Busy.Seconds() / answer / slowdown
	before, known := m.tokenTimes[base]
	if !known {
		before = sample
	}
	m.tokenTimes[base] = before + tokenTimeWeight*(sample-before)
}

// updateSlowest updates the decode time that is assumed for models without any.
func (m *meter) updateSlowest() {
	m.slowestTokenTime = 0
	for _, tokenTime := range m.tokenTimes {
		m.slowestTokenTime = max(m.slowestTokenTime, tokenTime)
	}
}

// baseName returns the held name of the model of a model or adapter.
func baseName(name string) string {
	service, model, _, ok := surveyor.ParseHeldName(name)
	if !ok {
		return name
	}
	return surveyor.HeldName(service, model, "")
}

// tokenTime returns the decode time per token of a model, in seconds; that of the
// slowest model if it is unknown.
func (m *meter) tokenTime(name string) float64 {
	if known, ok := m.tokenTimes[baseName(name)]; ok {
		return known
	}
	if m.slowestTokenTime > 0 {
		return m.slowestTokenTime
	}
	return defaultTokenTime.Seconds()
}

// cost returns the cost of a request of a class for a model, in seconds of a fully
// utilised engine.
func (m *meter) cost(name, class string) float64 {
	size, known := m.sizes[class]
	if !known {
		return defaultCost
	}
	step := m.tokenTime(name)
	batch := 1.0
	if service, _, _, ok := surveyor.ParseHeldName(name); ok && m.slots[service] > 0 {
		slots := float64(m.slots[service])
		batch = slots / (1 + stepGrowthPerSlot*slots)
	}
	return size.promptTokens*step/promptTokensPerStep + size.answerTokens*step/batch
}

// meanCost returns the mean cost of a request over all classes and models, in
// seconds of a fully utilised engine.
func (m *meter) meanCost() float64 {
	requests, total := 0.0, 0.0
	for name, u := range m.usages {
		for class, r := range u.rates {
			requests += r.slow
			total += r.slow * m.cost(name, class)
		}
	}
	if requests == 0 {
		return defaultCost
	}
	return total / requests
}
