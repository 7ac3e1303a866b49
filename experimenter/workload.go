package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"burdocklink/admitter"
	"burdocklink/router"
)

// Parameters of the load.
const (
	// popularityExponent is the Zipf exponent of the models' popularity.
	popularityExponent = 0.9
	// adapterShare is the share of model requests that name an adapter.
	adapterShare = 0.6
	// burstShare is the share of arrivals that are bursts of up to burstSize
	// requests within burstTime.
	burstShare = 0.15
	burstSize  = 6
	burstTime  = time.Second
	// sharedPrefixShare is the share of a prompt that is the same for all requests
	// of a subscriber to the same model or adapter.
	sharedPrefixShare = 0.6
	// minTokens is the minimum length of a prompt or answer, maxAnswerFactor the
	// maximum as a multiple of the mean.
	minTokens       = 8
	maxAnswerFactor = 4
	// plainTokens is the number of steps of a request to a plain server.
	plainTokens = 4
	// One in subscribersPerHeavy subscribers is heavy.
	subscribersPerHeavy = 20
)

// plannedRequest is a request of the generated load.
type plannedRequest struct {
	at      time.Duration
	request admitter.Request
	// answerTokens is the actual length of the answer; the request has only an
	// estimate.
	answerTokens int
	prefixTokens int
	heavy        bool
}

// generator generates the load of a case.
type generator struct {
	experiment Case
	random     *rand.Rand
	weights    []float64
	sum        float64
}

// generate returns all requests of a case in the order of arrival.
func generate(c Case) []plannedRequest {
	g := &generator{experiment: c, random: rand.New(rand.NewPCG(c.Seed, 0x5eed))}
	g.weights = make([]float64, c.Deployment.Models)
	rate := c.Deployment.RequestsPerSecond
	if c.Load > 0 {
		rate *= c.Load
	}
	perArrival := 1 + burstShare*float64(burstSize-1)/2
	var load []plannedRequest
	for at := time.Duration(0); ; {
		g.updateWeights(at)
		arrivals := rate * g.rateFactor(at) / perArrival
		at += time.Duration(g.random.ExpFloat64() / arrivals * float64(time.Second))
		if at >= c.Length {
			break
		}
		load = append(load, g.newArrival(at)...)
	}
	sortByArrival(load)
	return load
}

// updateWeights sets the popularity of each model at a time.
func (g *generator) updateWeights(at time.Duration) {
	g.sum = 0
	for i := range g.weights {
		g.weights[i] = baseWeight(i) * g.demandFactor(i, at)
		g.sum += g.weights[i]
	}
}

// rateFactor returns the factor by which shifts raise the rate of all requests.
// Requests to the plain service are not affected.
func (g *generator) rateFactor(at time.Duration) float64 {
	base := 0.0
	for i := range g.weights {
		base += baseWeight(i)
	}
	plainShare := 0.0
	for _, mix := range g.experiment.Deployment.Classes {
		if mix.Plain {
			plainShare += mix.Share
		}
	}
	return plainShare + (1-plainShare)*g.sum/base
}

func baseWeight(i int) float64 { return math.Pow(float64(i+1), -popularityExponent) }

func (g *generator) demandFactor(model int, at time.Duration) float64 {
	factor := 1.0
	for _, disturbance := range g.experiment.Disturbances {
		shift, ok := disturbance.(Shift)
		if !ok || shift.Model != modelName(model) || at < shift.At {
			continue
		}
		progress := min(1, float64(at-shift.At)/float64(max(1, shift.Rise)))
		factor *= 1 + (shift.Factor-1)*progress
	}
	return factor
}

// newArrival returns one request or a burst of requests, all of one subscriber.
func (g *generator) newArrival(at time.Duration) []plannedRequest {
	subscriber, heavy := g.drawSubscriber()
	count := 1
	if g.random.Float64() < burstShare {
		count += g.random.IntN(burstSize)
	}
	requests := make([]plannedRequest, 0, count)
	for i := range count {
		delay := time.Duration(0)
		if i > 0 {
			delay = time.Duration(g.random.Int64N(int64(burstTime)))
		}
		p := g.newRequest(at+delay, subscriber)
		p.heavy = heavy
		requests = append(requests, p)
	}
	return requests
}

func (g *generator) drawSubscriber() (string, bool) {
	count := g.experiment.Deployment.Subscribers
	heavyCount := count / subscribersPerHeavy
	if g.experiment.HeavyShare > 0 && g.random.Float64() < g.experiment.HeavyShare {
		return fmt.Sprintf("subscriber-%03d", g.random.IntN(heavyCount)), true
	}
	return fmt.Sprintf("subscriber-%03d", heavyCount+g.random.IntN(count-heavyCount)), false
}

func (g *generator) newRequest(at time.Duration, subscriber string) plannedRequest {
	d := g.experiment.Deployment
	mix := g.drawClass()
	p := plannedRequest{at: at, request: admitter.Request{
		Subscriber: subscriber,
		Class:      mix.Class,
		Arrived:    epoch.Add(at),
		Route:      router.Request{Seed: g.random.Uint64()},
	}}
	if mix.Plain {
		p.request.Route.Service = d.PlainService
		p.request.Route.AnswerTokens = plainTokens
		p.answerTokens = plainTokens
		return p
	}
	p.request.Route.Service = d.EngineService
	g.drawModel(&p.request.Route)
	p.request.Route.PromptTokens = g.drawTokens(d.PromptTokens)
	p.request.Route.AnswerTokens = d.AnswerTokens
	p.answerTokens = g.drawTokens(d.AnswerTokens)
	p.prefixTokens = int(sharedPrefixShare * float64(p.request.Route.PromptTokens))
	p.request.Route.Prefixes = []router.Prefix{{
		Hash:   hash(subscriber + p.request.Route.Model),
		Tokens: p.prefixTokens,
	}}
	return p
}

func (g *generator) drawClass() ClassShare {
	draw := g.random.Float64()
	classes := g.experiment.Deployment.Classes
	for _, mix := range classes {
		if draw < mix.Share {
			return mix
		}
		draw -= mix.Share
	}
	return classes[len(classes)-1]
}

// drawModel draws the model of a request, and one of its adapters for adapterShare
// of the requests.
func (g *generator) drawModel(route *router.Request) {
	draw := g.random.Float64() * g.sum
	model := 0
	for model < len(g.weights)-1 && draw >= g.weights[model] {
		draw -= g.weights[model]
		model++
	}
	route.BaseModel = modelName(model)
	route.Model = route.BaseModel
	d := g.experiment.Deployment
	adapters := (d.Adapters - model + d.Models - 1) / d.Models
	if adapters > 0 && g.random.Float64() < adapterShare {
		route.Model = adapterName(model + d.Models*g.random.IntN(adapters))
	}
}

// drawTokens draws an exponentially distributed length with a mean.
func (g *generator) drawTokens(mean int) int {
	drawn := int(g.random.ExpFloat64() * float64(mean))
	return max(minTokens, min(drawn, maxAnswerFactor*mean))
}
