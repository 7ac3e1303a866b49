package encoder

import (
	"burdocklink/applier"
	"burdocklink/encoder/wire"
)

// EncodeCommand encodes a command for the replicated log.
func EncodeCommand(command applier.Command) ([]byte, error) {
	message, err := encodeCommand(command)
	if err != nil {
		return nil, err
	}
	return marshal(message)
}

// DecodeCommand decodes the output of EncodeCommand. It returns a
// *NewerVersionError for a command of a newer version.
func DecodeCommand(data []byte) (applier.Command, error) {
	message := &wire.Command{}
	if err := unmarshal(data, message); err != nil {
		return nil, err
	}
	return decodeCommand(message)
}

// EncodeApplied encodes the result of a command.
func EncodeApplied(applied applier.Applied) ([]byte, error) {
	result, err := encodeResult(applied.Result)
	if err != nil {
		return nil, err
	}
	delta, err := encodeDelta(applied.Delta)
	if err != nil {
		return nil, err
	}
	return marshal(&wire.AppliedCommand{Result: result, Delta: delta})
}

// DecodeApplied decodes the output of EncodeApplied.
func DecodeApplied(data []byte) (applier.Applied, error) {
	message := &wire.AppliedCommand{}
	if err := unmarshal(data, message); err != nil {
		return applier.Applied{}, err
	}
	result, err := decodeResult(message.GetResult())
	if err != nil {
		return applier.Applied{}, err
	}
	delta, err := decodeDelta(message.GetDelta())
	return applier.Applied{Result: result, Delta: delta}, err
}

func encodeCommand(command applier.Command) (*wire.Command, error) {
	message := &wire.Command{}
	switch command := command.(type) {
	case applier.Claim:
		event, err := encodeClaimEvent(command.Event)
		message.Command = &wire.Command_Claim{Claim: event}
		return message, err
	case applier.Order:
		event, err := encodeOrderEvent(command.Event)
		message.Command = &wire.Command_Order{Order: event}
		return message, err
	case applier.Change:
		change, err := encodeOperatorChange(command)
		message.Command = &wire.Command_Change{Change: change}
		return message, err
	case applier.Watch:
		changes, err := encodeChanges(command.Changes)
		message.Command = &wire.Command_Watch{Watch: &wire.WatchChange{
			Changes:  changes,
			Term:     command.Term,
			Sequence: command.Sequence,
		}}
		return message, err
	case applier.Configure:
		message.Command = &wire.Command_Configuration{
			Configuration: encodeCatalogConfiguration(command.Configuration),
		}
		return message, nil
	case applier.Noop:
		message.Command = &wire.Command_Noop{Noop: &wire.Empty{}}
		return message, nil
	default:
		return nil, &UnsupportedTypeError{Message: "command"}
	}
}

func decodeCommand(message *wire.Command) (applier.Command, error) {
	switch command := message.GetCommand().(type) {
	case *wire.Command_Claim:
		event, err := decodeClaimEvent(command.Claim)
		return applier.Claim{Event: event}, err
	case *wire.Command_Order:
		event, err := decodeOrderEvent(command.Order)
		return applier.Order{Event: event}, err
	case *wire.Command_Change:
		return decodeOperatorChange(command.Change)
	case *wire.Command_Watch:
		changes, err := decodeChanges(command.Watch.GetChanges())
		return applier.Watch{
			Term:     command.Watch.GetTerm(),
			Sequence: command.Watch.GetSequence(),
			Changes:  changes,
		}, err
	case *wire.Command_Configuration:
		return applier.Configure{Configuration: decodeCatalogConfiguration(command.Configuration)}, nil
	case *wire.Command_Noop:
		return applier.Noop{}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}

func encodeOperatorChange(change applier.Change) (*wire.OperatorChange, error) {
	changes, err := encodeChanges(change.Changes)
	return &wire.OperatorChange{
		Operator: change.Operator,
		Request:  change.RequestID,
		Based:    change.BaseRevision,
		Changes:  changes,
	}, err
}

func decodeOperatorChange(message *wire.OperatorChange) (applier.Change, error) {
	changes, err := decodeChanges(message.GetChanges())
	return applier.Change{
		Operator:     message.GetOperator(),
		RequestID:    message.GetRequest(),
		BaseRevision: message.GetBased(),
		Changes:      changes,
	}, err
}

func encodeResult(result applier.Result) (*wire.CommandResult, error) {
	message := &wire.CommandResult{}
	switch result := result.(type) {
	case applier.ClaimResult:
		outcome, err := encodeClaimResult(result.Result)
		message.Result = &wire.CommandResult_Claim{Claim: outcome}
		return message, err
	case applier.OrderResult:
		outcome, err := encodeOrderResult(result.Result)
		message.Result = &wire.CommandResult_Order{Order: outcome}
		return message, err
	case applier.Accepted:
		message.Result = &wire.CommandResult_Accepted{Accepted: result.Revision}
	case applier.Conflict:
		message.Result = &wire.CommandResult_Conflict{Conflict: result.Current}
	case applier.Invalid:
		message.Result = &wire.CommandResult_Invalid{Invalid: result.Reason}
	case applier.Nothing:
		message.Result = &wire.CommandResult_Nothing{Nothing: &wire.Empty{}}
	default:
		return nil, &UnsupportedTypeError{Message: "result"}
	}
	return message, nil
}

func decodeResult(message *wire.CommandResult) (applier.Result, error) {
	switch result := message.GetResult().(type) {
	case *wire.CommandResult_Claim:
		outcome, err := decodeClaimResult(result.Claim)
		return applier.ClaimResult{Result: outcome}, err
	case *wire.CommandResult_Order:
		outcome, err := decodeOrderResult(result.Order)
		return applier.OrderResult{Result: outcome}, err
	case *wire.CommandResult_Accepted:
		return applier.Accepted{Revision: result.Accepted}, nil
	case *wire.CommandResult_Conflict:
		return applier.Conflict{Current: result.Conflict}, nil
	case *wire.CommandResult_Invalid:
		return applier.Invalid{Reason: result.Invalid}, nil
	case *wire.CommandResult_Nothing:
		return applier.Nothing{}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}
