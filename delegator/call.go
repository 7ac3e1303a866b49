package delegator

import (
	"context"
	"time"

	"burdocklink/admitter"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// delegation is a request that another entry is asked to admit.
type delegation struct {
	request admitter.Request
	// retry is set after a failed dispatch, and covered if the retry needs no further
	// retry budget.
	retry, covered bool
}

// delegate has another entry admit a request. It returns an *UnansweredError if that
// entry does not answer.
func (d *Delegator) delegate(ctx context.Context, address string, delegated *delegation) (*admitter.Grant, error) {
	link, err := d.settings.Links.Connect(address)
	if err != nil {
		return nil, &UnansweredError{Cause: err}
	}
	d.counters.delegated.Inc(1)
	sentAt := time.Now()
	c := newCall(wire.NewAdmissionsClient(link), delegated, sentAt)
	go c.run()
	timeout := firstReplyTimeout
	if delegated.request.Route.BaseModel == "" {
		timeout = plainReplyTimeout
	}
	unanswered := time.NewTimer(timeout)
	defer unanswered.Stop()
	for {
		select {
		case <-ctx.Done():
			c.cancel()
			return nil, context.Cause(ctx)
		case <-unanswered.C:
			c.cancel()
			return nil, &UnansweredError{}
		case reply, open := <-c.replies:
			if !open {
				return nil, &UnansweredError{Cause: c.err}
			}
			if reply.GetWaiting() != nil {
				unanswered.Reset(replyTimeout)
				continue
			}
			return c.decode(address, delegated, reply, sentAt)
		}
	}
}

// decode converts the final reply into a grant or a refusal.
func (c *call) decode(address string, delegated *delegation, reply *wire.AdmitReply, sentAt time.Time) (*admitter.Grant, error) {
	now := time.Now()
	if refusal := reply.GetRefusal(); refusal != nil {
		if refusal.GetReason() == wire.AdmitRefusal_STOPPED {
			return nil, &UnansweredError{Cause: &admitter.StoppedError{}}
		}
		return nil, encoder.DecodeRefusal(refusal, &delegated.request, now)
	}
	if reply.GetGrant() == nil {
		return nil, &UnansweredError{Cause: &UnknownReplyError{}}
	}
	choice := encoder.DecodeGrant(reply.GetGrant(), sentAt, now)
	return admitter.NewGrant(address, choice, delegated.request, reply.GetGrant().GetPaid(), c.settle), nil
}

// call is one request at the entry that admits it. It lasts until the request has
// ended.
type call struct {
	client  wire.AdmissionsClient
	message *wire.AdmitMessage
	ctx     context.Context
	cancel  context.CancelFunc
	replies chan *wire.AdmitReply
	// results receives the result of a granted request, once.
	results chan *wire.AdmitMessage
	// err is why replies was closed. It is set before the close.
	err error
}

func newCall(client wire.AdmissionsClient, delegated *delegation, now time.Time) *call {
	deadline := delegated.request.Deadline.Add(resultTimeout)
	if delegated.request.Deadline.IsZero() {
		deadline = now.Add(maxCallTime)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	return &call{
		client:  client,
		message: encoder.EncodeAdmission(&delegated.request, delegated.retry, delegated.covered, now),
		ctx:     ctx,
		cancel:  cancel,
		replies: make(chan *wire.AdmitReply, 1),
		results: make(chan *wire.AdmitMessage, 1),
	}
}

// settle reports how the request ended.
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
			// The call ends once the result has arrived.
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

// receive forwards the replies up to the final one, and reports whether that is a
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
