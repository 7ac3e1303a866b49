package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"burdocklink/encoder"
)

// maxReplyBytes is the size limit of a reply.
const maxReplyBytes = 64 << 10

// orderStatus is the status of an order at its upstream. It is one of the types below.
type orderStatus interface{ isOrderStatus() }

type statusUnknown struct{}

type statusRunning struct{}

type statusDone struct{}

type statusRefused struct{ reason string }

func (statusUnknown) isOrderStatus() {}
func (statusRunning) isOrderStatus() {}
func (statusDone) isOrderStatus()    {}
func (statusRefused) isOrderStatus() {}

// UnexpectedReplyError is returned if an upstream's reply about an order violates the
// protocol.
type UnexpectedReplyError struct {
	Upstream string
	Order    uint64
	Status   int
}

// Error returns the upstream, the order and the status.
func (e *UnexpectedReplyError) Error() string {
	return "unexpected reply of " + e.Upstream + " for order " +
		strconv.FormatUint(e.Order, 10) + ": status " + strconv.Itoa(e.Status)
}

// queryOrder requests the status of an order.
func (s *Sender) queryOrder(task Task) (orderStatus, error) {
	path := encoder.PathOrders + "/" + strconv.FormatUint(task.Order.ID, 10)
	return s.call(task, http.MethodGet, path, nil)
}

// postOrder sends an order.
func (s *Sender) postOrder(task Task) (orderStatus, error) {
	request, err := encoder.EncodeOrderRequest(task.Order)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode order")
	}
	return s.call(task, http.MethodPost, encoder.PathOrders, body)
}

// call makes one call on a new connection.
func (s *Sender) call(task Task, method, path string, body []byte) (orderStatus, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+task.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "call upstream")
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	return decodeReply(task, method, response.StatusCode, reply)
}

// decodeReply returns the status in a reply. A reply with another order's ID is an error.
func decodeReply(task Task, method string, status int, data []byte) (orderStatus, error) {
	if status == http.StatusNotFound && method == http.MethodGet {
		return statusUnknown{}, nil
	}
	unexpected := &UnexpectedReplyError{Upstream: task.Order.Upstream, Order: task.Order.ID, Status: status}
	var reply encoder.OrderReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.ID != task.Order.ID {
		return nil, unexpected
	}
	switch status {
	case http.StatusAccepted:
		return statusRunning{}, nil
	case http.StatusOK:
		return statusDone{}, nil
	case http.StatusConflict:
		return statusRefused{reason: reply.Reason}, nil
	default:
		return nil, unexpected
	}
}
