package encoder

import (
	"burdocklink/cataloger"
	"burdocklink/encoder/wire"
	"burdocklink/orderer"
)

func encodeOrder(order orderer.Order) (*wire.EngineOrder, error) {
	message := &wire.EngineOrder{
		Id:          order.ID,
		Upstream:    order.Upstream,
		Incarnation: order.Incarnation,
		Fence:       order.Fence,
		NotAfter:    encodeTime(order.NotAfter),
	}
	switch work := order.Work.(type) {
	case orderer.LoadModel:
		message.Work = &wire.EngineOrder_LoadModel{LoadModel: &wire.LoadModelWork{
			Model:       work.Model,
			Version:     work.Version,
			MemoryBytes: work.MemoryBytes,
		}}
	case orderer.UnloadModel:
		message.Work = &wire.EngineOrder_UnloadModel{UnloadModel: work.Model}
	case orderer.LoadAdapter:
		message.Work = &wire.EngineOrder_LoadAdapter{LoadAdapter: &wire.LoadAdapterWork{
			Adapter:     work.Adapter,
			Model:       work.Model,
			Version:     work.Version,
			MemoryBytes: work.MemoryBytes,
		}}
	case orderer.UnloadAdapter:
		message.Work = &wire.EngineOrder_UnloadAdapter{UnloadAdapter: work.Adapter}
	case orderer.SetRole:
		message.Work = &wire.EngineOrder_SetRole{SetRole: int32(work.Role)}
	default:
		return nil, &UnsupportedTypeError{Message: "order's work"}
	}
	return message, nil
}

func decodeOrder(message *wire.EngineOrder) (orderer.Order, error) {
	order := orderer.Order{
		ID:          message.GetId(),
		Upstream:    message.GetUpstream(),
		Incarnation: message.GetIncarnation(),
		Fence:       message.GetFence(),
		NotAfter:    decodeTime(message.GetNotAfter()),
	}
	switch work := message.GetWork().(type) {
	case *wire.EngineOrder_LoadModel:
		order.Work = orderer.LoadModel{
			Model:       work.LoadModel.GetModel(),
			Version:     work.LoadModel.GetVersion(),
			MemoryBytes: work.LoadModel.GetMemoryBytes(),
		}
	case *wire.EngineOrder_UnloadModel:
		order.Work = orderer.UnloadModel{Model: work.UnloadModel}
	case *wire.EngineOrder_LoadAdapter:
		order.Work = orderer.LoadAdapter{
			Adapter:     work.LoadAdapter.GetAdapter(),
			Model:       work.LoadAdapter.GetModel(),
			Version:     work.LoadAdapter.GetVersion(),
			MemoryBytes: work.LoadAdapter.GetMemoryBytes(),
		}
	case *wire.EngineOrder_UnloadAdapter:
		order.Work = orderer.UnloadAdapter{Adapter: work.UnloadAdapter}
	case *wire.EngineOrder_SetRole:
		if cataloger.Role(work.SetRole) > cataloger.RoleDecode {
			return orderer.Order{}, &NewerVersionError{Message: nameOf(message)}
		}
		order.Work = orderer.SetRole{Role: cataloger.Role(work.SetRole)}
	default:
		return orderer.Order{}, &NewerVersionError{Message: nameOf(message)}
	}
	return order, nil
}

func encodeOrderEvent(event orderer.Event) (*wire.OrderEvent, error) {
	message := &wire.OrderEvent{}
	switch event := event.(type) {
	case orderer.Submit:
		order, err := encodeOrder(event.Order)
		if err != nil {
			return nil, err
		}
		message.Event = &wire.OrderEvent_Intend{Intend: &wire.IntendOrder{Token: event.Token, Order: order}}
	case orderer.Settle:
		message.Event = &wire.OrderEvent_Settle{Settle: &wire.SettleOrder{Id: event.ID, Outcome: int32(event.Outcome)}}
	case orderer.Observe:
		message.Event = &wire.OrderEvent_Observe{Observe: &wire.ObserveUpstream{
			Placement: encodePlacement(event.Placement),
			LastOrder: event.LastOrder,
			Sequence:  event.Sequence,
			Taken:     encodeTime(event.Taken),
			UsedBytes: event.UsedBytes,
		}}
	case orderer.Forget:
		message.Event = &wire.OrderEvent_Forget{Forget: &wire.ForgetUpstream{
			Upstream:    event.Upstream,
			Incarnation: event.Incarnation,
		}}
	case orderer.Limit:
		message.Event = &wire.OrderEvent_Limit{Limit: encodeLimits(event.Limits)}
	default:
		return nil, &UnsupportedTypeError{Message: "order event"}
	}
	return message, nil
}

func decodeOrderEvent(message *wire.OrderEvent) (orderer.Event, error) {
	switch event := message.GetEvent().(type) {
	case *wire.OrderEvent_Intend:
		order, err := decodeOrder(event.Intend.GetOrder())
		return orderer.Submit{Token: event.Intend.GetToken(), Order: order}, err
	case *wire.OrderEvent_Settle:
		outcome := orderer.Outcome(event.Settle.GetOutcome())
		if outcome > orderer.OutcomeExpired {
			return nil, &NewerVersionError{Message: nameOf(event.Settle)}
		}
		return orderer.Settle{ID: event.Settle.GetId(), Outcome: outcome}, nil
	case *wire.OrderEvent_Observe:
		placement, err := decodePlacement(event.Observe.GetPlacement())
		return orderer.Observe{
			Placement: placement,
			LastOrder: event.Observe.GetLastOrder(),
			Sequence:  event.Observe.GetSequence(),
			Taken:     decodeTime(event.Observe.GetTaken()),
			UsedBytes: event.Observe.GetUsedBytes(),
		}, err
	case *wire.OrderEvent_Forget:
		return orderer.Forget{Upstream: event.Forget.GetUpstream(), Incarnation: event.Forget.GetIncarnation()}, nil
	case *wire.OrderEvent_Limit:
		return orderer.Limit{Limits: decodeLimits(event.Limit)}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}

func encodeLimits(limits orderer.StoreLimits) *wire.StoreLimits {
	return &wire.StoreLimits{
		LoadsPerSecond:    limits.LoadsPerSecond,
		LoadsAtOnce:       int64(limits.LoadsAtOnce),
		AdaptersInTransit: int64(limits.AdaptersInTransit),
	}
}

func decodeLimits(message *wire.StoreLimits) orderer.StoreLimits {
	return orderer.StoreLimits{
		LoadsPerSecond:    message.GetLoadsPerSecond(),
		LoadsAtOnce:       int(message.GetLoadsAtOnce()),
		AdaptersInTransit: int(message.GetAdaptersInTransit()),
	}
}

func encodeOrderResult(result orderer.Result) (*wire.OrderOutcome, error) {
	message := &wire.OrderOutcome{}
	switch result := result.(type) {
	case orderer.Committed:
		order, err := encodeOrder(result.Order)
		if err != nil {
			return nil, err
		}
		message.Outcome = &wire.OrderOutcome_Committed{Committed: order}
	case orderer.Recorded:
		message.Outcome = &wire.OrderOutcome_Recorded{Recorded: encodePlacement(result.Placement)}
	case orderer.NoMemory:
		message.Outcome = &wire.OrderOutcome_NoMemory{NoMemory: &wire.MissingMemory{
			FreeBytes: result.FreeBytes,
			NeedBytes: result.NeedBytes,
		}}
	case orderer.Busy:
		message.Outcome = &wire.OrderOutcome_Busy{Busy: result.Unsettled}
	case orderer.LastCopy:
		message.Outcome = &wire.OrderOutcome_LastCopy{LastCopy: result.Name}
	case orderer.StoreFull:
		message.Outcome = &wire.OrderOutcome_StoreFull{StoreFull: encodeTime(result.Retry)}
	case orderer.UnknownUpstream:
		message.Outcome = &wire.OrderOutcome_UnknownUpstream{UnknownUpstream: result.Upstream}
	case orderer.UnknownOrder:
		message.Outcome = &wire.OrderOutcome_UnknownOrder{UnknownOrder: result.ID}
	case orderer.Unsuitable:
		message.Outcome = &wire.OrderOutcome_Unsuitable{Unsuitable: result.Reason}
	default:
		return nil, &UnsupportedTypeError{Message: "order result"}
	}
	return message, nil
}

func decodeOrderResult(message *wire.OrderOutcome) (orderer.Result, error) {
	switch result := message.GetOutcome().(type) {
	case *wire.OrderOutcome_Committed:
		order, err := decodeOrder(result.Committed)
		return orderer.Committed{Order: order}, err
	case *wire.OrderOutcome_Recorded:
		placement, err := decodePlacement(result.Recorded)
		return orderer.Recorded{Placement: placement}, err
	case *wire.OrderOutcome_NoMemory:
		return orderer.NoMemory{
			FreeBytes: result.NoMemory.GetFreeBytes(),
			NeedBytes: result.NoMemory.GetNeedBytes(),
		}, nil
	case *wire.OrderOutcome_Busy:
		return orderer.Busy{Unsettled: result.Busy}, nil
	case *wire.OrderOutcome_LastCopy:
		return orderer.LastCopy{Name: result.LastCopy}, nil
	case *wire.OrderOutcome_StoreFull:
		return orderer.StoreFull{Retry: decodeTime(result.StoreFull)}, nil
	case *wire.OrderOutcome_UnknownUpstream:
		return orderer.UnknownUpstream{Upstream: result.UnknownUpstream}, nil
	case *wire.OrderOutcome_UnknownOrder:
		return orderer.UnknownOrder{ID: result.UnknownOrder}, nil
	case *wire.OrderOutcome_Unsuitable:
		return orderer.Unsuitable{Reason: result.Unsuitable}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}
