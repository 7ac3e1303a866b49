package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"burdocklink/admitter"
	"burdocklink/router"
)

// Shape of the load.
const (
	// popularity is the exponent of the models' ranks.
	popularity = 0.9
	// adapterShare is the share of model requests that name an adapter.
	adapterShare = 0.6
	// burstShare is the share of arrivals that bring a burst, of up to
	// burstSize requests within burstTime.
	burstShare = 0.15
	burstSize  = 6
	burstTime  = time.Second
	// sharedPrefix is the part of a prompt that is the same for all requests
	// of one subscriber to one model or adapter.
	sharedPrefix = 0.6
	// leastTokens of a prompt and an answer, longestTokens of an answer as a
	// multiple of the mean.
	leastTokens   = 8
	longestTokens = 4
	// plainTokens is the number of steps of a plain call.
	plainTokens = 4
	// heavyOneIn subscribers are heavy.
	heavyOneIn = 20
)

// planned is one request of the load.
type planned struct {
	at      time.Duration
	request admitter.Request
	// answerTokens is what the engine will generate; the request carries only
	// an estimate.
	answerTokens int
	prefixTokens int
	heavy        bool
}

// generator makes the load of a case.
type generator struct {
	c       Case
	random  *rand.Rand
	weights []float64
	sum     float64
}

// generate returns all requests of a case in order of arrival.
func generate(c Case) []planned {
	g := &generator{c: c, random: rand.New(rand.NewPCG(c.Seed, 0x5eed))}
	g.weights = make([]float64, c.Deployment.Models)
	rate := c.Deployment.RequestsPerSecond
	if c.Load > 0 {
		rate *= c.Load
	}
	perArrival := 1 + burstShare*float64(burstSize-1)/2
	var load []planned
	for at := time.Duration(0); ; {
		g.weigh(at)
		arrivals := rate * g.growth(at) / perArrival
		at += time.Duration(g.random.ExpFloat64() / arrivals * float64(time.Second))
		if at >= c.Length {
			break
		}
		load = append(load, g.arrival(at)...)
	}
	sortByArrival(load)
	return load
}

// weigh sets the weight of each model at a time.
func (g *generator) weigh(at time.Duration) {
	g.sum = 0
	for i := range g.weights {
		g.weights[i] = baseWeight(i) * g.factor(i, at)
		g.sum += g.weights[i]
	}
}

// growth is how much the shifts add to the rate of all requests.
func (g *generator) growth(at time.Duration) float64 {
	base := 0.0
	for i := range g.weights {
		base += baseWeight(i)
	}
	plain := 0.0
	for _, mix := range g.c.Deployment.Classes {
		if mix.Plain {
			plain += mix.Share
		}
	}
	return plain + (1-plain)*g.sum/base
}

func baseWeight(i int) float64 { return math.Pow(float64(i+1), -popularity) }

func (g *generator) factor(model int, at time.Duration) float64 {
	factor := 1.0
	for _, trouble := range g.c.Trouble {
		shift, ok := trouble.(Shift)
		if !ok || shift.Model != modelName(model) || at < shift.At {
			continue
		}
		risen := min(1, float64(at-shift.At)/float64(max(1, shift.Rise)))
		factor *= 1 + (shift.Factor-1)*risen
	}
	return factor
}

// arrival makes one request, or a burst of one subscriber.
func (g *generator) arrival(at time.Duration) []planned {
	subscriber, heavy := g.subscriber()
	count := 1
	if g.random.Float64() < burstShare {
		count += g.random.IntN(burstSize)
	}
	made := make([]planned, 0, count)
	for i := range count {
		delay := time.Duration(0)
		if i > 0 {
			delay = time.Duration(g.random.Int64N(int64(burstTime)))
		}
		p := g.request(at+delay, subscriber)
		p.heavy = heavy
		made = append(made, p)
	}
	return made
}

func (g *generator) subscriber() (string, bool) {
	count := g.c.Deployment.Subscribers
	heavies := count / heavyOneIn
	if g.c.HeavyShare > 0 && g.random.Float64() < g.c.HeavyShare {
		return fmt.Sprintf("subscriber-%03d", g.random.IntN(heavies)), true
	}
	return fmt.Sprintf("subscriber-%03d", heavies+g.random.IntN(count-heavies)), false
}

func (g *generator) request(at time.Duration, subscriber string) planned {
	d := g.c.Deployment
	mix := g.mix()
	p := planned{at: at, request: admitter.Request{
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
	g.name(&p.request.Route)
	p.request.Route.PromptTokens = g.tokens(d.PromptTokens)
	p.request.Route.AnswerTokens = d.AnswerTokens
	p.answerTokens = g.tokens(d.AnswerTokens)
	p.prefixTokens = int(sharedPrefix * float64(p.request.Route.PromptTokens))
	p.request.Route.Prefixes = []router.Prefix{{
		Hash:   hash(subscriber + p.request.Route.Model),
		Tokens: p.prefixTokens,
	}}
	return p
}

func (g *generator) mix() Mix {
	draw := g.random.Float64()
	classes := g.c.Deployment.Classes
	for _, mix := range classes {
		if draw < mix.Share {
			return mix
		}
		draw -= mix.Share
	}
	return classes[len(classes)-1]
}

// name draws a model, and one of its adapters for most requests.
func (g *generator) name(route *router.Request) {
	draw := g.random.Float64() * g.sum
	model := 0
	for model < len(g.weights)-1 && draw >= g.weights[model] {
		draw -= g.weights[model]
		model++
	}
	route.BaseModel = modelName(model)
	route.Model = route.BaseModel
	d := g.c.Deployment
	adapters := (d.Adapters - model + d.Models - 1) / d.Models
	if adapters > 0 && g.random.Float64() < adapterShare {
		route.Model = adapterName(model + d.Models*g.random.IntN(adapters))
	}
}

// tokens draws a length around a mean.
func (g *generator) tokens(mean int) int {
	drawn := int(g.random.ExpFloat64() * float64(mean))
	return max(leastTokens, min(drawn, longestTokens*mean))
}
