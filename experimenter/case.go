package experimenter

import "time"

// Case is one experiment.
type Case struct {
	Name       string
	Deployment Deployment
	Seed       uint64
	// Warmup is the time before requests are counted, Length that of all
	// arrivals.
	Warmup time.Duration
	Length time.Duration
	// Faults and shifts happen at their times after the start.
	Disturbances []Disturbance
	// HeavyShare is the share of the load sent by one subscriber in twenty;
	// zero for even subscribers.
	HeavyShare float64
	// Load scales the rate; zero counts as one.
	Load float64
}

// Disturbance is one thing that happens. It is one of the types below.
type Disturbance interface{ disturbance() }

// Shift multiplies the demand for one model and its adapters by Factor,
// rising from At over Rise.
type Shift struct {
	Model  string
	Factor float64
	At     time.Duration
	Rise   time.Duration
}

// Loss takes engines away for good.
type Loss struct {
	At       time.Duration
	Upstream string
}

// ZoneLoss takes all upstreams of an availability zone away for good.
type ZoneLoss struct {
	At               time.Duration
	AvailabilityZone string
}

// SlowStore divides the speed of the weight store.
type SlowStore struct {
	At     time.Duration
	Factor float64
}

func (Shift) disturbance()     {}
func (Loss) disturbance()      {}
func (ZoneLoss) disturbance()  {}
func (SlowStore) disturbance() {}

// shiftedModel is the model whose demand moves in the standard cases: one in
// the middle of the ranks, so that few copies of it stand.
const shiftedModel = 7

// Cases are the standard experiments of a deployment.
func Cases(d Deployment, seed uint64) []Case {
	shift := Shift{Model: modelName(shiftedModel), Factor: 10, At: time.Minute, Rise: time.Minute}
	base := Case{Deployment: d, Seed: seed, Warmup: 20 * time.Second, Length: 4 * time.Minute}
	named := func(name string, disturbance ...Disturbance) Case {
		c := base
		c.Name = name
		c.Disturbances = disturbance
		return c
	}
	heavy := named("heavy-subscribers")
	heavy.HeavyShare = 0.5
	heavy.Load = 1.8
	even := named("even-subscribers")
	even.Load = 0.9
	return []Case{
		named("calm"),
		named("shift", shift),
		named("engine-loss", Loss{At: time.Minute, Upstream: "engine-00"}),
		named("zone-loss", ZoneLoss{At: time.Minute, AvailabilityZone: d.AvailabilityZones[0]}),
		named("slow-store", SlowStore{Factor: 4}, shift),
		even,
		heavy,
	}
}
