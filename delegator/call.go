package delegator

import (
	"context"
	"time"

	"burdocklink/admitter"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// question is a request that another entry is asked to admit.
type question struct {
	request admitter.Request
	// retry is true after a dispatch that failed, and paid where it needs no more
	// of the retry budget.
	retry, paid bool
}

// ask has another entry admit a request. It returns a *SilentError where that one
// does not answer.
func (d *Delegator) ask(ctx context.Context, address string, ask *question) (*admitter.Grant, error) {
	link, err := d.settings.Links.Connect(address)
	if err != nil {
		return nil, &SilentError{Cause: err}
	}
	d.counts.delegated.Inc(1)
	sentAt := time.Now()
	c := newCall(wire.NewAdmissionsClient(link), ask, sentAt)
	go c.run()
	silent := time.NewTimer(answerTime)
	defer silent.Stop()
	for {
		select {
		case <-ctx.Done():
			c.cancel()
			return nil, context.Cause(ctx)
		case <-silent.C:
			c.cancel()
			return nil, &SilentError{}
		case reply, open := <-c.replies:
			if !open {
				return nil, &SilentError{Cause: c.err}
			}
			if reply.GetWaiting() != nil {
				silent.Reset(silence)
				continue
			}
			return c.decided(address, ask, reply, sentAt)
		}
	}
}

// decided turns the last answer into a grant or a refusal.
func (c *call) decided(address string, ask *question, reply *wire.AdmitReply, sentAt time.Time) (*admitter.Grant, error) {
	now := time.Now()
	if refusal := reply.GetRefusal(); refusal != nil {
		if refusal.GetReason() == wire.AdmitRefusal_STOPPED {
			return nil, &SilentError{Cause: &admitter.StoppedError{}}
		}
		return nil, encoder.DecodeRefusal(refusal, &ask.request, now)
	}
	if reply.GetGrant() == nil {
		return nil, &SilentError{Cause: &UnknownReplyError{}}
	}
	choice := encoder.DecodeGrant(reply.GetGrant(), sentAt, now)
	return admitter.NewGrant(address, choice, ask.request, reply.GetGrant().GetPaid(), c.settle), nil
}

// call is one request at the entry that admits it, until the request has ended.
type call struct {
	client  wire.AdmissionsClient
	message *wire.AdmitMessage
	ctx     context.Context
	cancel  context.CancelFunc
	replies chan *wire.AdmitReply
	// results takes the result of a granted request, once.
	results chan *wire.AdmitMessage
	// err says why replies ended; it is set before they do.
	err error
}

func newCall(client wire.AdmissionsClient, ask *question, now time.Time) *call {
	until := ask.request.Deadline.Add(settleTime)
	if ask.request.Deadline.IsZero() {
		until = now.Add(longestCall)
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	return &call{
		client:  client,
		message: encoder.EncodeAdmission(&ask.request, ask.retry, ask.paid, now),
		ctx:     ctx,
		cancel:  cancel,
		replies: make(chan *wire.AdmitReply, 1),
		results: make(chan *wire.AdmitMessage, 1),
	}
}

// settle tells how the request ended.
func (c *call) settle(first time.Time, result admitter.Result) {
	c.results <- encoder.EncodeResult(first, result)
}

func (c *call) run() {
	defer c.cancel()
	stream, err := c.open()
	if err != nil {
		c.err = err
		close(c.replies)
		return
	}
	granted, err := c.receive(stream)
	c.err = err
	close(c.replies)
	if !granted {
		return
	}
	select {
	case <-c.ctx.Done():
	case result := <-c.results:
		if stream.Send(result) == nil {
			// the call ends once the result has arrived
			_, _ = stream.Recv()
		}
	}
}

func (c *call) open() (wire.Admissions_AdmitClient, error) {
	stream, err := c.client.Admit(c.ctx)
	if err != nil {
		return nil, err
	}
	return stream, stream.Send(c.message)
}

// receive hands on the answers up to the last one, and says whether that is a
// grant.
func (c *call) receive(stream wire.Admissions_AdmitClient) (bool, error) {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return false, err
		}
		select {
		case c.replies <- reply:
		case <-c.ctx.Done():
			return false, c.ctx.Err()
		}
		if reply.GetWaiting() == nil {
			return reply.GetGrant() != nil, nil
		}
	}
}
