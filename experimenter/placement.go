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

// move is one order of a run.
type move struct {
	at   time.Time
	kind string
	name string
}

// plan decides on placement and gives the orders.
func (s *simulation) plan() {
	s.agenda.add(s.now.Add(planEvery), plan{})
	output := placer.Plan(s.input())
	s.state = output.State
	for _, m := range output.Moves {
		s.order(m)
	}
}

func (s *simulation) input() placer.Input {
	input := placer.Input{
		Now: s.now, Catalog: s.catalog, Limits: s.c.Deployment.Limits,
		NextLoad: s.store.next, State: s.state,
		Reports: map[string]estimator.Report{}, Demands: map[string]placer.Demand{},
	}
	for _, name := range names(s.servers) {
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

func (s *simulation) order(m placer.Move) {
	server := s.servers[m.Upstream]
	if server.order != nil {
		return
	}
	s.orders++
	server.order = &orderer.Order{
		ID: s.orders, Upstream: m.Upstream, Incarnation: m.Incarnation, Work: m.Work, Fence: s.orders,
	}
	s.moves = append(s.moves, newMove(s.now, m.Work))
	s.vacate(server)
	took := s.store.begin(s.now, m.Work)
	if server.lost {
		return
	}
	server.engine.Begin(*server.order)
	s.overcommitted = max(s.overcommitted, server.engine.Overcommit())
	s.agenda.add(s.now.Add(took), complete{server: server})
}

// vacate takes what is to be unloaded out of the catalog, so that the entries
// send no more work to it.
func (s *simulation) vacate(server *server) {
	placement := s.catalog.Placements[server.name]
	switch work := server.order.Work.(type) {
	case orderer.UnloadModel:
		placement.Models = dropped(placement.Models, work.Model)
	case orderer.UnloadAdapter:
		placement.Adapters = dropped(placement.Adapters, work.Adapter)
	default:
		return
	}
	s.change(cataloger.PutPlacement{Placement: placement})
}

func (s *simulation) complete(server *server) {
	if server.lost {
		return
	}
	if !server.engine.Complete() {
		s.agenda.add(s.now.Add(unloadRetry), complete{server: server})
		return
	}
	s.store.end(server.order.Work)
	server.order = nil
	s.change(cataloger.PutPlacement{Placement: server.engine.Placement(s.catalog)})
}

// starts returns when a trouble starts.
func starts(trouble Trouble) time.Duration {
	switch trouble := trouble.(type) {
	case Shift:
		return trouble.At
	case Loss:
		return trouble.At
	case ZoneLoss:
		return trouble.At
	case SlowStore:
		return trouble.At
	default:
		return 0
	}
}

func (s *simulation) happen(trouble Trouble) {
	switch trouble := trouble.(type) {
	case Loss:
		s.lose(trouble.Upstream)
	case ZoneLoss:
		for _, name := range names(s.servers) {
			if s.catalog.Upstreams[name].AvailabilityZone == trouble.AvailabilityZone {
				s.lose(name)
			}
		}
	case SlowStore:
		s.store.speed /= trouble.Factor
	}
}

// lose takes an upstream away: its requests fail at once, and the control
// plane notices later.
func (s *simulation) lose(name string) {
	server := s.servers[name]
	if server.lost {
		return
	}
	server.lost = true
	if server.order != nil {
		s.store.end(server.order.Work)
		server.order = nil
	}
	s.agenda.add(s.now.Add(noticeLag), notice{name: name})
	for _, id := range slices.Sorted(maps.Keys(server.attempts)) {
		a := server.attempts[id]
		delete(server.attempts, id)
		s.end(a, router.OutcomeFailed)
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
