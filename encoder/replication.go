package encoder

import (
	"burdocklink/encoder/wire"
	"burdocklink/replicator"
)

// EncodeEntry encodes a log entry.
func EncodeEntry(entry replicator.Entry) ([]byte, error) {
	return marshal(encodeEntry(entry))
}

// DecodeEntry decodes the output of EncodeEntry.
func DecodeEntry(data []byte) (replicator.Entry, error) {
	message := &wire.LogEntry{}
	if err := unmarshal(data, message); err != nil {
		return replicator.Entry{}, err
	}
	return decodeEntry(message)
}

// EncodeHardState encodes a hard state.
func EncodeHardState(hard replicator.HardState) ([]byte, error) {
	return marshal(&wire.LogHardState{
		Group: hard.Group,
		Term:  hard.Term,
		Vote:  EncodeIdentity(hard.Vote),
	})
}

// DecodeHardState decodes the output of EncodeHardState.
func DecodeHardState(data []byte) (replicator.HardState, error) {
	message := &wire.LogHardState{}
	if err := unmarshal(data, message); err != nil {
		return replicator.HardState{}, err
	}
	return replicator.HardState{
		Group: message.GetGroup(),
		Term:  message.GetTerm(),
		Vote:  DecodeIdentity(message.GetVote()),
	}, nil
}

// EncodeSnapshot encodes a snapshot with its data.
func EncodeSnapshot(snapshot replicator.Snapshot) ([]byte, error) {
	return marshal(encodeSnapshot(snapshot))
}

// DecodeSnapshot decodes the output of EncodeSnapshot.
func DecodeSnapshot(data []byte) (replicator.Snapshot, error) {
	message := &wire.LogSnapshot{}
	if err := unmarshal(data, message); err != nil {
		return replicator.Snapshot{}, err
	}
	return decodeSnapshot(message), nil
}

// EncodeIdentity encodes an identity. It returns nil for the zero identity.
func EncodeIdentity(id replicator.Identity) *wire.ReplicaIdentity {
	if id == (replicator.Identity{}) {
		return nil
	}
	return &wire.ReplicaIdentity{Name: id.Name, Disk: id.Disk}
}

// DecodeIdentity decodes an identity. It returns the zero identity for nil.
func DecodeIdentity(message *wire.ReplicaIdentity) replicator.Identity {
	return replicator.Identity{Name: message.GetName(), Disk: message.GetDisk()}
}

func encodeEntry(entry replicator.Entry) *wire.LogEntry {
	message := &wire.LogEntry{
		Index:      entry.Index,
		Term:       entry.Term,
		StampNanos: encodeTime(entry.Stamp),
	}
	switch payload := entry.Payload.(type) {
	case replicator.NoOp:
		message.Payload = &wire.LogEntry_Blank{Blank: true}
	case replicator.Opaque:
		message.Payload = &wire.LogEntry_Opaque{Opaque: payload.Data}
	case replicator.Reconfigured:
		configuration := encodeConfiguration(payload.Configuration)
		message.Payload = &wire.LogEntry_Reconfigured{Reconfigured: configuration}
	}
	return message
}

func decodeEntry(message *wire.LogEntry) (replicator.Entry, error) {
	entry := replicator.Entry{
		Index: message.GetIndex(),
		Term:  message.GetTerm(),
		Stamp: decodeTime(message.GetStampNanos()),
	}
	switch payload := message.GetPayload().(type) {
	case *wire.LogEntry_Blank:
		entry.Payload = replicator.NoOp{}
	case *wire.LogEntry_Opaque:
		entry.Payload = replicator.Opaque{Data: payload.Opaque}
	case *wire.LogEntry_Reconfigured:
		entry.Payload = replicator.Reconfigured{Configuration: decodeConfiguration(payload.Reconfigured)}
	default:
		return entry, &NewerVersionError{Message: nameOf(message)}
	}
	return entry, nil
}

func encodeEntries(entries []replicator.Entry) []*wire.LogEntry {
	messages := make([]*wire.LogEntry, 0, len(entries))
	for _, entry := range entries {
		messages = append(messages, encodeEntry(entry))
	}
	return messages
}

func decodeEntries(messages []*wire.LogEntry) ([]replicator.Entry, error) {
	entries := make([]replicator.Entry, 0, len(messages))
	for _, message := range messages {
		entry, err := decodeEntry(message)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func encodeSnapshot(snapshot replicator.Snapshot) *wire.LogSnapshot {
	return &wire.LogSnapshot{
		Index:         snapshot.Index,
		Term:          snapshot.Term,
		StampNanos:    encodeTime(snapshot.Stamp),
		Configuration: encodeConfiguration(snapshot.Configuration),
		Data:          snapshot.Data,
	}
}

func decodeSnapshot(message *wire.LogSnapshot) replicator.Snapshot {
	return replicator.Snapshot{
		Index:         message.GetIndex(),
		Term:          message.GetTerm(),
		Stamp:         decodeTime(message.GetStampNanos()),
		Configuration: decodeConfiguration(message.GetConfiguration()),
		Data:          message.GetData(),
	}
}

func encodeConfiguration(configuration replicator.Configuration) *wire.ReplicaConfiguration {
	return &wire.ReplicaConfiguration{Members: EncodeMembers(configuration.Members)}
}

func decodeConfiguration(message *wire.ReplicaConfiguration) replicator.Configuration {
	return replicator.Configuration{Members: DecodeMembers(message.GetMembers())}
}

// EncodeMembers encodes the members of a group.
func EncodeMembers(members []replicator.Member) []*wire.ReplicaMember {
	var messages []*wire.ReplicaMember
	for _, member := range members {
		messages = append(messages, &wire.ReplicaMember{
			Id:      EncodeIdentity(member.ID),
			Address: member.Address,
			Voter:   member.Role == replicator.Voter,
		})
	}
	return messages
}

// DecodeMembers decodes the output of EncodeMembers.
func DecodeMembers(messages []*wire.ReplicaMember) []replicator.Member {
	var members []replicator.Member
	for _, message := range messages {
		role := replicator.Learner
		if message.GetVoter() {
			role = replicator.Voter
		}
		members = append(members, replicator.Member{
			ID:      DecodeIdentity(message.GetId()),
			Address: message.GetAddress(),
			Role:    role,
		})
	}
	return members
}
