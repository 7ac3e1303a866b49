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

// Register offers other entries the admission of their requests.
func (d *Delegator) Register(server *grpc.Server) {
	wire.RegisterAdmissionsServer(server, &admissions{delegator: d})
}

// admissions answers other entries.
type admissions struct {
	wire.UnimplementedAdmissionsServer
	delegator *Delegator
}

// Admit sees one request of another entry through. Where that entry goes away, the
// request counts as cancelled.
func (a *admissions) Admit(stream wire.Admissions_AdmitServer) error {
	message, err := stream.Recv()
	if err != nil {
		return err
	}
	if message.GetRequest() == nil {
		return status.Error(codes.InvalidArgument, "no request")
	}
	a.delegator.counts.served.Inc(1)
	v := &visit{
		Delegator:  a.delegator,
		stream:     stream,
		question:   message.GetRequest(),
		receivedAt: time.Now(),
		decided:    make(chan struct{}),
	}
	go v.run()
	if err := v.wait(); err != nil {
		return err
	}
	if v.err != nil {
		return stream.Send(encoder.EncodeRefusal(v.err, time.Now()))
	}
	return v.seeThrough()
}

// visit is one request of another entry.
type visit struct {
	*Delegator
	stream   wire.Admissions_AdmitServer
	question *wire.AdmitRequest
	// receivedAt is when the question came.
	receivedAt time.Time
	// decided is closed once grant or err is set.
	decided chan struct{}
	grant   *admitter.Grant
	err     error
}

// run admits the request.
func (v *visit) run() {
	defer close(v.decided)
	request := encoder.DecodeAdmission(v.question, v.receivedAt)
	request.Route.Thorough = true
	wanted := chooser.Requirement{Service: request.Route.Service, Deadline: request.UsefulUntil}
	if _, model, adapter, ok := surveyor.ParseHeldName(request.Route.Model); ok {
		wanted.Model, wanted.Adapter = model, adapter
	}
	v.grant, v.err = chooser.Choose(v.stream.Context(), v.settings.Holders, wanted,
		func(ctx context.Context, counted bool) (*admitter.Grant, error) {
			if v.question.GetRetry() {
				// what is looked for again was paid the first time
				return v.settings.Local.Retry(ctx, request, v.question.GetPaid() || counted)
			}
			request.Counted = request.Counted || counted
			return v.settings.Local.Acquire(ctx, request)
		})
}

// wait tells the other entry now and then that the request still waits, until it
// is decided.
func (v *visit) wait() error {
	timer := time.NewTimer(waitingFirst)
	defer timer.Stop()
	for {
		select {
		case <-v.decided:
			return nil
		case <-timer.C:
			waiting := &wire.AdmitReply{Reply: &wire.AdmitReply_Waiting{Waiting: &wire.AdmitWaiting{}}}
			if err := v.stream.Send(waiting); err != nil {
				<-v.decided
				v.release()
				return err
			}
			timer.Reset(waitingEvery)
		}
	}
}

// seeThrough tells of the grant and takes the result.
func (v *visit) seeThrough() error {
	if err := v.stream.Send(encoder.EncodeGrant(v.grant, v.receivedAt, time.Now())); err != nil {
		v.release()
		return err
	}
	message, err := v.stream.Recv()
	if err != nil {
		v.release()
		return err
	}
	first, result := encoder.DecodeResult(message.GetResult(), time.Now())
	if !first.IsZero() {
		v.grant.FirstToken(first)
	}
	v.grant.Done(result)
	return nil
}

// release gives a grant back whose result won't come.
func (v *visit) release() {
	if v.grant != nil {
		v.grant.Done(admitter.Result{Ended: time.Now(), Outcome: router.OutcomeCancelled})
	}
}
