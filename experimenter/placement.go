package experimenter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/router"
)

// move is an order that was given during the run.
type move struct {
	at   time.Time
	kind string
	name string
}

// plan runs the placement and gives its orders.
func (s *simulation) plan() {
	s.events.schedule(s.now.Add(planInterval), plan{})
	output := placer.Plan(s.planInput())
	s.state = output.State
	for _, m := range output.Moves {
		s.startOrder(m)
	}
}

func (s *simulation) planInput() placer.Input {
	input := placer.Input{
		Now: s.now, Catalog: s.catalog, Limits: s.experiment.Deployment.Limits,
		NextLoad: s.store.next, State: s.state,
		Reports: map[string]estimator.Report{}, Demands: map[string]placer.Demand{},
	}
	for _, name := range sortedKeys(s.servers) {
		server := s.servers[name]
		if server.order != nil {
			input.Unsettled = append(input.Unsettled, *server.order)
		}
		if !server.lost {
			input.Reports[name] = server.engine.Report(s.now, s.catalog)
		}
	}
	for i, e := range s.entries {
		input.Demands[fmt.Sprintf("entry-%d", i)] = e.queue.Demand()
	}
	return input
}

func (s *simulation) startOrder(m placer.Move) {
	server := s.servers[m.Upstream]
	if server.order != nil {
		return
	}
	s.lastOrder++
	server.order = &orderer.Order{
		ID: s.lastOrder, Upstream: m.Upstream, Incarnation: m.Incarnation, Work: m.Work, Fence: s.lastOrder,
	}
	s.moves = append(s.moves, newMove(s.now, m.Work))
	s.withdraw(server)
	took := s.store.startOrder(s.now, m.Work)
	if server.lost {
		return
	}
	server.engine.Begin(*server.order)
	s.overcommitted = max(s.overcommitted, server.engine.Overcommit())
	s.events.schedule(s.now.Add(took), complete{server: server})
}

// withdraw removes a model or adapter that is to be unloaded from the catalog, so
// that entries send no more requests for it to this upstream.
func (s *simulation) withdraw(server *server) {
	placement := s.catalog.Placements[server.name]
	switch work := server.order.Work.(type) {
	case orderer.UnloadModel:
		placement.Models = without(placement.Models, work.Model)
	case orderer.UnloadAdapter:
		placement.Adapters = without(placement.Adapters, work.Adapter)
	default:
		return
	}
	s.change(cataloger.PutPlacement{Placement: placement})
}

func (s *simulation) completeOrder(server *server) {
	if server.lost {
		return
	}
	if !server.engine.Complete() {
		s.events.schedule(s.now.Add(unloadRetryInterval), complete{server: server})
		return
	}
	s.store.endOrder(server.order.Work)
	server.order = nil
	s.change(cataloger.PutPlacement{Placement: server.engine.Placement(s.catalog)})
}

// startOf returns the start time of a disturbance.
func startOf(disturbance Disturbance) time.Duration {
	switch disturbance := disturbance.(type) {
	case Shift:
		return disturbance.At
	case Loss:
		return disturbance.At
	case ZoneLoss:
		return disturbance.At
	case SlowStore:
		return disturbance.At
	default:
		return 0
	}
}

func (s *simulation) disturb(disturbance Disturbance) {
	switch disturbance := disturbance.(type) {
	case Loss:
		s.loseUpstream(disturbance.Upstream)
	case ZoneLoss:
		for _, name := range sortedKeys(s.servers) {
			if s.catalog.Upstreams[name].AvailabilityZone == disturbance.AvailabilityZone {
				s.loseUpstream(name)
			}
		}
	case SlowStore:
		s.store.speed /= disturbance.Factor
	}
}

// loseUpstream removes an upstream. Its requests fail at once; the control plane
// detects the loss after lossDetectionLag.
func (s *simulation) loseUpstream(name string) {
	server := s.servers[name]
	if server.lost {
		return
	}
	server.lost = true
	if server.order != nil {
		s.store.endOrder(server.order.Work)
		server.order = nil
	}
	s.events.schedule(s.now.Add(lossDetectionLag), detectLoss{name: name})
	for _, id := range slices.Sorted(maps.Keys(server.attempts)) {
		a := server.attempts[id]
		delete(server.attempts, id)
		s.endAttempt(a, router.OutcomeFailed)
	}
}

func newMove(at time.Time, work orderer.Work) move {
	switch work := work.(type) {
	case orderer.LoadModel:
		return move{at: at, kind: "load-model", name: work.Model}
	case orderer.UnloadModel:
		return move{at: at, kind: "unload-model", name: work.Model}
	case orderer.LoadAdapter:
		return move{at: at, kind: "load-adapter", name: work.Adapter}
	case orderer.UnloadAdapter:
		return move{at: at, kind: "unload-adapter", name: work.Adapter}
	default:
		return move{at: at, kind: "set-role"}
	}
}
