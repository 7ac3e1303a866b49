package encoder

import (
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/replicator"
)

// EncodeEnvelope encodes a message between members.
func EncodeEnvelope(envelope replicator.Envelope) *wire.ReplicaEnvelope {
	message := &wire.ReplicaEnvelope{
		Group: envelope.Group,
		From:  EncodeIdentity(envelope.From),
		To:    EncodeIdentity(envelope.To),
		Term:  envelope.Term,
	}
	switch body := envelope.Message.(type) {
	case replicator.VoteRequest:
		message.Message = &wire.ReplicaEnvelope_VoteRequest{VoteRequest: encodeVoteRequest(body)}
	case replicator.VoteReply:
		reply := &wire.ReplicaVoteReply{Pre: body.Pre, Granted: body.Granted, Fresh: body.Recovering}
		message.Message = &wire.ReplicaEnvelope_VoteReply{VoteReply: reply}
	case replicator.AppendRequest:
		message.Message = &wire.ReplicaEnvelope_AppendRequest{AppendRequest: encodeAppendRequest(body)}
	case replicator.AppendReply:
		message.Message = &wire.ReplicaEnvelope_AppendReply{AppendReply: encodeAppendReply(body)}
	case replicator.SnapshotChunk:
		message.Message = &wire.ReplicaEnvelope_SnapshotChunk{SnapshotChunk: encodeChunk(body)}
	case replicator.SnapshotReply:
		message.Message = &wire.ReplicaEnvelope_SnapshotReply{SnapshotReply: encodeSnapshotReply(body)}
	case replicator.TimeoutNow:
		message.Message = &wire.ReplicaEnvelope_StandNow{StandNow: true}
	}
	return message
}

// DecodeEnvelope decodes a message between members. It returns a
// *NewerVersionError for content of a newer version.
func DecodeEnvelope(message *wire.ReplicaEnvelope) (replicator.Envelope, error) {
	if err := refuseUnknown(message.ProtoReflect()); err != nil {
		return replicator.Envelope{}, err
	}
	body, err := decodeBody(message)
	if err != nil {
		return replicator.Envelope{}, err
	}
	return replicator.Envelope{
		Group:   message.GetGroup(),
		From:    DecodeIdentity(message.GetFrom()),
		To:      DecodeIdentity(message.GetTo()),
		Term:    message.GetTerm(),
		Message: body,
	}, nil
}

func decodeBody(message *wire.ReplicaEnvelope) (replicator.Message, error) {
	switch body := message.GetMessage().(type) {
	case *wire.ReplicaEnvelope_VoteRequest:
		return decodeVoteRequest(body.VoteRequest), nil
	case *wire.ReplicaEnvelope_VoteReply:
		return replicator.VoteReply{
			Pre:        body.VoteReply.GetPre(),
			Granted:    body.VoteReply.GetGranted(),
			Recovering: body.VoteReply.GetFresh(),
		}, nil
	case *wire.ReplicaEnvelope_AppendRequest:
		return decodeAppendRequest(body.AppendRequest)
	case *wire.ReplicaEnvelope_AppendReply:
		return decodeAppendReply(body.AppendReply), nil
	case *wire.ReplicaEnvelope_SnapshotChunk:
		return decodeChunk(body.SnapshotChunk), nil
	case *wire.ReplicaEnvelope_SnapshotReply:
		return decodeSnapshotReply(body.SnapshotReply), nil
	case *wire.ReplicaEnvelope_StandNow:
		return replicator.TimeoutNow{}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}

func encodeVoteRequest(body replicator.VoteRequest) *wire.ReplicaVoteRequest {
	return &wire.ReplicaVoteRequest{
		Pre:       body.Pre,
		LastIndex: body.LastIndex,
		LastTerm:  body.LastTerm,
		Handover:  body.Transfer,
	}
}

func decodeVoteRequest(message *wire.ReplicaVoteRequest) replicator.VoteRequest {
	return replicator.VoteRequest{
		Pre:       message.GetPre(),
		LastIndex: message.GetLastIndex(),
		LastTerm:  message.GetLastTerm(),
		Transfer:  message.GetHandover(),
	}
}

func encodeAppendRequest(body replicator.AppendRequest) *wire.ReplicaAppendRequest {
	return &wire.ReplicaAppendRequest{
		PreviousIndex: body.PreviousIndex,
		PreviousTerm:  body.PreviousTerm,
		Entries:       encodeEntries(body.Entries),
		Committed:     body.Committed,
		SentNanos:     int64(body.Sent),
	}
}

func decodeAppendRequest(message *wire.ReplicaAppendRequest) (replicator.Message, error) {
	entries, err := decodeEntries(message.GetEntries())
	if err != nil {
		return nil, err
	}
	return replicator.AppendRequest{
		PreviousIndex: message.GetPreviousIndex(),
		PreviousTerm:  message.GetPreviousTerm(),
		Entries:       entries,
		Committed:     message.GetCommitted(),
		Sent:          time.Duration(message.GetSentNanos()),
	}, nil
}

func encodeAppendReply(body replicator.AppendReply) *wire.ReplicaAppendReply {
	return &wire.ReplicaAppendReply{
		Accepted:  body.Accepted,
		Match:     body.Match,
		Previous:  body.Previous,
		Next:      body.Next,
		SentNanos: int64(body.Sent),
	}
}

func decodeAppendReply(message *wire.ReplicaAppendReply) replicator.AppendReply {
	return replicator.AppendReply{
		Accepted: message.GetAccepted(),
		Match:    message.GetMatch(),
		Previous: message.GetPrevious(),
		Next:     message.GetNext(),
		Sent:     time.Duration(message.GetSentNanos()),
	}
}

func encodeChunk(body replicator.SnapshotChunk) *wire.ReplicaSnapshotChunk {
	return &wire.ReplicaSnapshotChunk{
		Snapshot:  encodeSnapshot(body.Snapshot),
		Offset:    uint64(body.Offset),
		Total:     uint64(body.Total),
		Data:      body.Data,
		SentNanos: int64(body.Sent),
	}
}

func decodeChunk(message *wire.ReplicaSnapshotChunk) replicator.SnapshotChunk {
	return replicator.SnapshotChunk{
		Snapshot: decodeSnapshot(message.GetSnapshot()),
		Offset:   int(message.GetOffset()),
		Total:    int(message.GetTotal()),
		Data:     message.GetData(),
		Sent:     time.Duration(message.GetSentNanos()),
	}
}

func encodeSnapshotReply(body replicator.SnapshotReply) *wire.ReplicaSnapshotReply {
	return &wire.ReplicaSnapshotReply{
		Index:     body.Index,
		Offset:    uint64(body.Offset),
		SentNanos: int64(body.Sent),
	}
}

func decodeSnapshotReply(message *wire.ReplicaSnapshotReply) replicator.SnapshotReply {
	return replicator.SnapshotReply{
		Index:  message.GetIndex(),
		Offset: int(message.GetOffset()),
		Sent:   time.Duration(message.GetSentNanos()),
	}
}
