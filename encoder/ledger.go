package encoder

import (
	"burdocklink/encoder/wire"
	"burdocklink/orderer"
)

func encodeLedger(snapshot orderer.Snapshot) (*wire.LedgerState, error) {
	unsettled, err := encodePending(snapshot.Unsettled)
	if err != nil {
		return nil, err
	}
	spent, err := encodePending(snapshot.Spent)
	if err != nil {
		return nil, err
	}
	message := &wire.LedgerState{
		Limits:    encodeLimits(snapshot.Limits),
		NextLoad:  encodeTime(snapshot.NextLoad),
		Unsettled: unsettled,
		Spent:     spent,
		Moves:     snapshot.Moves,
	}
	for _, account := range snapshot.Accounts {
		message.Accounts = append(message.Accounts, encodeAccount(account))
	}
	return message, nil
}

func decodeLedger(message *wire.LedgerState) (orderer.Snapshot, error) {
	unsettled, err := decodePending(message.GetUnsettled())
	if err != nil {
		return orderer.Snapshot{}, err
	}
	spent, err := decodePending(message.GetSpent())
	if err != nil {
		return orderer.Snapshot{}, err
	}
	snapshot := orderer.Snapshot{
		Limits:    decodeLimits(message.GetLimits()),
		NextLoad:  decodeTime(message.GetNextLoad()),
		Unsettled: unsettled,
		Spent:     spent,
		Moves:     message.GetMoves(),
	}
	for _, account := range message.GetAccounts() {
		snapshot.Accounts = append(snapshot.Accounts, decodeAccount(account))
	}
	return snapshot, nil
}

func encodeAccount(account orderer.Account) *wire.UpstreamAccount {
	message := &wire.UpstreamAccount{
		Upstream:    account.Upstream,
		Incarnation: account.Incarnation,
		Observed:    account.Observed,
		Sequence:    account.Sequence,
		LastOrder:   account.LastOrder,
		Unsettled:   account.Unsettled,
		Settled:     encodeTime(account.Settled),
	}
	for _, held := range account.Held {
		message.Held = append(message.Held, &wire.HeldCopy{
			Name:        held.Name,
			MemoryBytes: held.MemoryBytes,
			Adapter:     held.Adapter,
			Base:        held.Base,
			Version:     held.Version,
		})
	}
	for _, late := range account.Late {
		message.Late = append(message.Late, &wire.LateOrder{
			Id:          late.ID,
			Name:        late.Name,
			Loads:       late.Loads,
			MemoryBytes: late.MemoryBytes,
			NotAfter:    encodeTime(late.NotAfter),
			Version:     late.Version,
			Done:        late.Done,
		})
	}
	return message
}

func decodeAccount(message *wire.UpstreamAccount) orderer.Account {
	account := orderer.Account{
		Upstream:    message.GetUpstream(),
		Incarnation: message.GetIncarnation(),
		Observed:    message.GetObserved(),
		Sequence:    message.GetSequence(),
		LastOrder:   message.GetLastOrder(),
		Unsettled:   message.GetUnsettled(),
		Settled:     decodeTime(message.GetSettled()),
	}
	for _, held := range message.GetHeld() {
		account.Held = append(account.Held, orderer.Held{
			Name:        held.GetName(),
			MemoryBytes: held.GetMemoryBytes(),
			Adapter:     held.GetAdapter(),
			Base:        held.GetBase(),
			Version:     held.GetVersion(),
		})
	}
	for _, late := range message.GetLate() {
		account.Late = append(account.Late, orderer.Late{
			ID:          late.GetId(),
			Name:        late.GetName(),
			Loads:       late.GetLoads(),
			MemoryBytes: late.GetMemoryBytes(),
			NotAfter:    decodeTime(late.GetNotAfter()),
			Version:     late.GetVersion(),
			Done:        late.GetDone(),
		})
	}
	return account
}
