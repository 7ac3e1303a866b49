package encoder

import (
	"burdocklink/applier"
	"burdocklink/claimer"
	"burdocklink/encoder/wire"
	"burdocklink/orderer"
)

// EncodeState encodes the complete state deterministically.
func EncodeState(state *applier.State) ([]byte, error) {
	return EncodeStateSnapshot(state.Snapshot())
}

// EncodeStateSnapshot encodes a snapshot of the state. The owner of the state can
// apply further commands meanwhile.
func EncodeStateSnapshot(snapshot applier.Snapshot) ([]byte, error) {
	catalog, err := encodeCatalog(snapshot.Catalog)
	if err != nil {
		return nil, err
	}
	ledger, err := encodeLedger(snapshot.Orders)
	if err != nil {
		return nil, err
	}
	remembered, err := encodeJournal(snapshot.Journal)
	if err != nil {
		return nil, err
	}
	message := &wire.MachineState{
		Index:            snapshot.Index,
		Stamp:            encodeTime(snapshot.Stamp),
		Catalog:          catalog,
		ClaimSerial:      snapshot.ClaimSerial,
		Orders:           ledger,
		OperatorRevision: snapshot.OperatorRevision,
		Remembered:       remembered,
		WatchedTerm:      snapshot.LastWatch.Term,
		WatchedSequence:  snapshot.LastWatch.Sequence,
	}
	for _, record := range snapshot.Claims {
		message.Claims = append(message.Claims, encodeClaimRecord(record))
	}
	for _, departure := range snapshot.Departures {
		message.Departures = append(message.Departures, &wire.DepartedUpstream{
			Upstream:    departure.Upstream,
			Incarnation: departure.Incarnation,
			Replaced:    departure.Replaced,
			Leaving:     departure.Leaving,
		})
	}
	return marshal(message)
}

// DecodeState decodes the output of EncodeState. It returns a *NewerVersionError for
// a state of a newer version.
func DecodeState(data []byte) (*applier.State, error) {
	message := &wire.MachineState{}
	if err := unmarshal(data, message); err != nil {
		return nil, err
	}
	snapshot := applier.Snapshot{
		Index:            message.GetIndex(),
		Stamp:            decodeTime(message.GetStamp()),
		ClaimSerial:      message.GetClaimSerial(),
		OperatorRevision: message.GetOperatorRevision(),
		LastWatch: applier.WatchPosition{
			Term:     message.GetWatchedTerm(),
			Sequence: message.GetWatchedSequence(),
		},
	}
	var err error
	if snapshot.Catalog, err = decodeCatalog(message.GetCatalog()); err != nil {
		return nil, err
	}
	if snapshot.Orders, err = decodeLedger(message.GetOrders()); err != nil {
		return nil, err
	}
	if snapshot.Journal, err = decodeJournal(message.GetRemembered()); err != nil {
		return nil, err
	}
	if snapshot.Claims, err = decodeClaimRecords(message.GetClaims()); err != nil {
		return nil, err
	}
	for _, departure := range message.GetDepartures() {
		snapshot.Departures = append(snapshot.Departures, applier.Departure{
			Upstream:    departure.GetUpstream(),
			Incarnation: departure.GetIncarnation(),
			Replaced:    departure.GetReplaced(),
			Leaving:     departure.GetLeaving(),
		})
	}
	return applier.Restore(snapshot), nil
}

func encodeJournal(entries []applier.JournalEntry) ([]*wire.RememberedChange, error) {
	var messages []*wire.RememberedChange
	for _, entry := range entries {
		change, err := encodeOperatorChange(applier.Change{
			Operator:     entry.Operator,
			RequestID:    entry.RequestID,
			BaseRevision: entry.BaseRevision,
			Changes:      entry.Changes,
		})
		if err != nil {
			return nil, err
		}
		result, err := encodeResult(entry.Result)
		if err != nil {
			return nil, err
		}
		messages = append(messages, &wire.RememberedChange{Change: change, At: encodeTime(entry.At), Result: result})
	}
	return messages, nil
}

func decodeJournal(messages []*wire.RememberedChange) ([]applier.JournalEntry, error) {
	var entries []applier.JournalEntry
	for _, message := range messages {
		change, err := decodeOperatorChange(message.GetChange())
		if err != nil {
			return nil, err
		}
		result, err := decodeResult(message.GetResult())
		if err != nil {
			return nil, err
		}
		entries = append(entries, applier.JournalEntry{
			Operator:     change.Operator,
			RequestID:    change.RequestID,
			BaseRevision: change.BaseRevision,
			At:           decodeTime(message.GetAt()),
			Changes:      change.Changes,
			Result:       result,
		})
	}
	return entries, nil
}

func encodeClaimRecord(record claimer.Record) *wire.ClaimRecord {
	message := &wire.ClaimRecord{
		Key:       encodeKey(record.Key),
		Digest:    record.Digest[:],
		Phase:     int32(record.Phase),
		Attempt:   record.Attempt,
		Entry:     record.Entry,
		Deadline:  encodeTime(record.Deadline),
		KeepUntil: encodeTime(record.AnswerExpiresAt),
		Serial:    record.Serial,
		ForgetAt:  encodeTime(record.ExpiresAt),
	}
	if record.AnswerStored {
		message.Answer = encodeAnswer(record.Answer)
	}
	for _, released := range record.Released {
		message.Released = append(message.Released, &wire.ReleasedAttempt{
			Attempt:  released.Attempt,
			Deadline: encodeTime(released.Deadline),
		})
	}
	return message
}

func decodeClaimRecords(messages []*wire.ClaimRecord) ([]claimer.Record, error) {
	var records []claimer.Record
	for _, message := range messages {
		record, err := decodeClaimRecord(message)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeClaimRecord(message *wire.ClaimRecord) (claimer.Record, error) {
	digest, err := decodeDigest(message.GetDigest())
	if err != nil {
		return claimer.Record{}, err
	}
	record := claimer.Record{
		Key:             decodeKey(message.GetKey()),
		Digest:          digest,
		Phase:           claimer.Phase(message.GetPhase()),
		Attempt:         message.GetAttempt(),
		Entry:           message.GetEntry(),
		Deadline:        decodeTime(message.GetDeadline()),
		AnswerExpiresAt: decodeTime(message.GetKeepUntil()),
		Serial:          message.GetSerial(),
		ExpiresAt:       decodeTime(message.GetForgetAt()),
		AnswerStored:    message.GetAnswer() != nil,
	}
	if record.Phase < claimer.PhaseHeld || record.Phase > claimer.PhaseUnknown {
		return claimer.Record{}, &NewerVersionError{Message: nameOf(message)}
	}
	if record.AnswerStored {
		record.Answer = decodeAnswer(message.GetAnswer())
	}
	for _, released := range message.GetReleased() {
		record.Released = append(record.Released, claimer.ReleasedAttempt{
			Attempt:  released.GetAttempt(),
			Deadline: decodeTime(released.GetDeadline()),
		})
	}
	return record, nil
}

func encodePending(pending []orderer.Pending) ([]*wire.PendingOrder, error) {
	var messages []*wire.PendingOrder
	for _, p := range pending {
		order, err := encodeOrder(p.Order)
		if err != nil {
			return nil, err
		}
		messages = append(messages, &wire.PendingOrder{Order: order, Token: p.Token})
	}
	return messages, nil
}

func decodePending(messages []*wire.PendingOrder) ([]orderer.Pending, error) {
	var pending []orderer.Pending
	for _, message := range messages {
		order, err := decodeOrder(message.GetOrder())
		if err != nil {
			return nil, err
		}
		pending = append(pending, orderer.Pending{Order: order, Token: message.GetToken()})
	}
	return pending, nil
}
