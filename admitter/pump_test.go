package admitter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/router"
)

// BenchmarkPump measures one call of Pump on a large site while requests for
// several models wait.
func BenchmarkPump(b *testing.B) {
	const engines, models = 140, 10
	for _, waiting := range []int{0, 10, 30, 100} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			var changes []cataloger.Change
			for number := range engines {
				name := fmt.Sprintf("e%03d", number)
				changes = append(changes,
					cataloger.PutUpstream{Upstream: cataloger.Upstream{
						Name: name, Incarnation: "1", Address: "127.0.0.1:1", Service: "chat", Slots: 1,
						Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive,
					}},
					cataloger.PutPlacement{Placement: cataloger.Placement{
						Upstream: name, Incarnation: "1", Models: []string{fmt.Sprintf("m%d", number%models)},
					}})
			}
			r := router.New(router.Settings{})
			r.Apply(changes)
			q := NewQueue(r, epoch)
			for number := 0; q.Waiting() < waiting; number++ {
				request := requestAt(epoch, fmt.Sprint(number))
				request.Route.Service, request.Route.Model = "chat", fmt.Sprintf("m%d", number%models)
				request.Route.BaseModel = request.Route.Model
				request.Class.Target.FirstToken = time.Minute
				q.Arrive(epoch, request)
				q.Take()
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Pump(epoch)
			}
			assert.Equal(b, q.Waiting(), waiting)
		})
	}
}
