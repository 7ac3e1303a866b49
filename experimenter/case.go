package experimenter

import "time"

// Case is one experiment.
type Case struct {
	Name       string
	Deployment Deployment
	Seed       uint64
	// Requests arrive for Length. Those that arrive during Warmup are not counted.
	Warmup time.Duration
	Length time.Duration
	// Disturbances are the faults and demand shifts of the run.
	Disturbances []Disturbance
	// HeavyShare is the share of the requests that is sent by one subscriber in
	// twenty. With 0, all subscribers send equally much.
	HeavyShare float64
	// Load is a factor of the request rate; 0 means 1.
	Load float64
}

// Disturbance is a fault or a demand shift during a run. It is one of the types
// below. All times are relative to the start of the run.
type Disturbance interface{ disturbance() }

// Shift multiplies the demand for a model and its adapters by Factor. The demand
// rises linearly for Rise, starting at At.
type Shift struct {
	Model  string
	Factor float64
	At     time.Duration
	Rise   time.Duration
}

// Loss removes an upstream permanently.
type Loss struct {
	At       time.Duration
	Upstream string
}

// ZoneLoss removes all upstreams of an availability zone permanently.
type ZoneLoss struct {
	At               time.Duration
	AvailabilityZone string
}

// SlowStore divides the speed of the weight store by Factor.
type SlowStore struct {
	At     time.Duration
	Factor float64
}

func (Shift) disturbance()     {}
func (Loss) disturbance()      {}
func (ZoneLoss) disturbance()  {}
func (SlowStore) disturbance() {}

// shiftedModel is the model whose demand is shifted in the standard cases. It has
// a middle popularity rank and therefore few copies.
const shiftedModel = 7

// Cases returns the standard cases of a deployment.
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
