package encoder

import "burdocklink/orderer"

// Kinds of orders in the upstream protocol.
const (
	kindLoadModel     = "load-model"
	kindUnloadModel   = "unload-model"
	kindLoadAdapter   = "load-adapter"
	kindUnloadAdapter = "unload-adapter"
	kindSetRole       = "set-role"
)

// EncodeOrderRequest returns the body of POST PathOrders for an order.
func EncodeOrderRequest(order orderer.Order) (OrderRequest, error) {
	request := OrderRequest{
		ID:          order.ID,
		Incarnation: order.Incarnation,
		Fence:       order.Fence,
		NotAfter:    order.NotAfter,
	}
	switch work := order.Work.(type) {
	case orderer.LoadModel:
		request.Kind = kindLoadModel
		request.Model, request.Version = work.Model, work.Version
		request.MemoryBytes = work.MemoryBytes
	case orderer.UnloadModel:
		request.Kind = kindUnloadModel
		request.Model = work.Model
	case orderer.LoadAdapter:
		request.Kind = kindLoadAdapter
		request.Adapter, request.Model, request.Version = work.Adapter, work.Model, work.Version
		request.MemoryBytes = work.MemoryBytes
	case orderer.UnloadAdapter:
		request.Kind = kindUnloadAdapter
		request.Adapter = work.Adapter
	case orderer.SetRole:
		request.Kind = kindSetRole
		request.Role = EncodeRole(work.Role)
	default:
		return OrderRequest{}, &UnsupportedTypeError{Message: "order's work"}
	}
	return request, nil
}
