package delegator

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Register registers the service that admits requests of other entries.
func (d *Delegator) Register(server *grpc.Server) {
	wire.RegisterAdmissionsServer(server, &admissionsServer{delegator: d})
}

// admissionsServer admits requests of other entries.
type admissionsServer struct {
	wire.UnimplementedAdmissionsServer
	delegator *Delegator
}

// Admit handles one request of another entry. If that entry disconnects, the request
// counts as cancelled.
func (s *admissionsServer) Admit(stream wire.Admissions_AdmitServer) error {
	message, err := stream.Recv()
	if err != nil {
		return err
	}
	if message.GetRequest() == nil {
		return status.Error(codes.InvalidArgument, "no request")
	}
	s.delegator.counters.served.Inc(1)
	remote := &remoteRequest{
		Delegator:  s.delegator,
		stream:     stream,
		message:    message.GetRequest(),
		receivedAt: time.Now(),
		decided:    make(chan struct{}),
	}
	go remote.run()
	if err := remote.wait(); err != nil {
		return err
	}
	if remote.err != nil {
		return stream.Send(encoder.EncodeRefusal(remote.err, time.Now()))
	}
	return remote.finish()
}

// remoteRequest is one request of another entry.
type remoteRequest struct {
	*Delegator
	stream  wire.Admissions_AdmitServer
	message *wire.AdmitRequest
	// receivedAt is when the request arrived.
	receivedAt time.Time
	// decided is closed once grant or err is set.
	decided chan struct{}
	grant   *admitter.Grant
	err     error
}

// run admits the request.
func (r *remoteRequest) run() {
	defer close(r.decided)
	request := encoder.DecodeAdmission(r.message, r.receivedAt)
	request.Route.Thorough = true
	requirement := chooser.Requirement{Service: request.Route.Service, Origin: request.Route.Origin, Deadline: request.UsefulUntil}
	if _, model, adapter, ok := surveyor.ParseHeldName(request.Route.Model); ok {
		requirement.Model, requirement.Adapter = model, adapter
	}
	r.grant, r.err = chooser.Choose(r.stream.Context(), r.settings.Holders, requirement,
		func(ctx context.Context, counted bool) (*admitter.Grant, error) {
			if r.message.GetRetry() {
				// Only the first attempt spends the retry budget.
				return r.settings.Local.AcquireRetry(ctx, request, r.message.GetPaid() || counted)
			}
			request.Counted = request.Counted || counted
			return r.settings.Local.Acquire(ctx, request)
		})
}

// wait sends keepalives to the other entry until the request is decided.
func (r *remoteRequest) wait() error {
	timer := time.NewTimer(firstKeepalive)
	defer timer.Stop()
	for {
		select {
		case <-r.decided:
			return nil
		case <-timer.C:
			waiting := &wire.AdmitReply{Reply: &wire.AdmitReply_Waiting{Waiting: &wire.AdmitWaiting{}}}
			if err := r.stream.Send(waiting); err != nil {
				<-r.decided
				r.release()
				return err
			}
			timer.Reset(keepaliveInterval)
		}
	}
}

// finish sends the grant and receives the result.
func (r *remoteRequest) finish() error {
	if err := r.stream.Send(encoder.EncodeGrant(r.grant, r.receivedAt, time.Now())); err != nil {
		r.release()
		return err
	}
	message, err := r.stream.Recv()
	if err != nil {
		r.release()
		return err
	}
	first, result := encoder.DecodeResult(message.GetResult(), time.Now())
	if !first.IsZero() {
		r.grant.FirstToken(first)
	}
	r.grant.Done(result)
	return nil
}

// release releases a grant whose result will not arrive.
func (r *remoteRequest) release() {
	if r.grant != nil {
		r.grant.Done(admitter.Result{Ended: time.Now(), Outcome: router.OutcomeCancelled})
	}
}
