package forwarder

import (
	"context"
	"slices"
	"time"

	"burdocklink/dispatcher"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/router"
)

// findOrigin finds the upstream that began the stream which the caller takes up again.
func (x *exchange) findOrigin(ctx context.Context) error {
	if x.Streams == nil || x.initialEventID == 0 {
		return nil
	}
	services := servicesOf(x.route)
	stream, err := x.Streams.Find(ctx, x.request.Resumes, services)
	if err != nil {
		return linker.CauseOf(ctx, err)
	}
	if !slices.Contains(services, stream.Service) {
		return &router.OriginGoneError{Service: stream.Service, Origin: stream.Origin}
	}
	x.service, x.origin = stream.Service, stream.Origin
	return nil
}

// identifyTimeout bounds the wait for an engine's report before a stream continues there.
const identifyTimeout = 300 * time.Millisecond

// identify returns a *dispatcher.NotSentError if a stream is to continue at an engine that
// is not the incarnation chosen.
func (x *exchange) identify(ctx context.Context, choice router.Choice) error {
	if x.Identify == nil || x.origin.IsZero() || x.table.Configuration.Services[x.service].Engine == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	incarnation, err := x.Identify(ctx, choice)
	if err == nil && incarnation != choice.Incarnation {
		err = &IncarnationError{Want: choice.Incarnation, Got: incarnation}
	}
	if err != nil {
		return &dispatcher.NotSentError{Address: choice.Address, Cause: err}
	}
	return nil
}

// servicesOf returns the services of a route that get requests.
func servicesOf(route *matcher.Route) []string {
	var services []string
	for _, part := range route.Split {
		if part.Weight > 0 && !slices.Contains(services, part.Service) {
			services = append(services, part.Service)
		}
	}
	return services
}

// beginStream records the upstream that sends the first event of a stream which may be
// taken up again.
func (x *exchange) beginStream() {
	id := x.request.ID
	if x.initialEventID > 0 {
		id = x.request.Resumes
	}
	if x.origin.Incarnation == "" {
		// the stream is new, or any upstream of the version may have begun it
		x.origin = x.grant.Choice.Origin()
	}
	if x.Streams != nil && x.route.Resumable {
		x.Streams.Begun(id, router.Stream{Service: x.service, Origin: x.origin})
	}
}
