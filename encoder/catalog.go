package encoder

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/encoder/wire"
)

// EncodeDelta encodes a catalog delta.
func EncodeDelta(delta cataloger.Delta) ([]byte, error) {
	message, err := encodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return marshal(message)
}

// DecodeDelta decodes the output of EncodeDelta.
func DecodeDelta(data []byte) (cataloger.Delta, error) {
	message := &wire.CatalogDelta{}
	if err := unmarshal(data, message); err != nil {
		return cataloger.Delta{}, err
	}
	return decodeDelta(message)
}

func encodeDelta(delta cataloger.Delta) (*wire.CatalogDelta, error) {
	changes, err := encodeChanges(delta.Changes)
	return &wire.CatalogDelta{From: delta.From, To: delta.To, Changes: changes}, err
}

func decodeDelta(message *wire.CatalogDelta) (cataloger.Delta, error) {
	changes, err := decodeChanges(message.GetChanges())
	return cataloger.Delta{From: message.GetFrom(), To: message.GetTo(), Changes: changes}, err
}

func encodeCatalog(catalog *cataloger.Catalog) (*wire.CatalogState, error) {
	changes, err := encodeChanges(catalog.Changes())
	return &wire.CatalogState{Revision: catalog.Revision, Changes: changes}, err
}

func decodeCatalog(message *wire.CatalogState) (*cataloger.Catalog, error) {
	changes, err := decodeChanges(message.GetChanges())
	if err != nil {
		return nil, err
	}
	return cataloger.New().With(cataloger.Delta{To: message.GetRevision(), Changes: changes})
}

func encodeChanges(changes []cataloger.Change) ([]*wire.CatalogChange, error) {
	var messages []*wire.CatalogChange
	for _, change := range changes {
		message, err := encodeChange(change)
		if err != nil {
			return nil, err
		}
		messages = append(messages, message)
	}
	return messages, nil
}

func decodeChanges(messages []*wire.CatalogChange) ([]cataloger.Change, error) {
	var changes []cataloger.Change
	for _, message := range messages {
		change, err := decodeChange(message)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func encodeChange(change cataloger.Change) (*wire.CatalogChange, error) {
	message := &wire.CatalogChange{}
	switch change := change.(type) {
	case cataloger.PutClass:
		message.Change = &wire.CatalogChange_PutClass{PutClass: encodeClass(change.Class)}
	case cataloger.RemoveClass:
		message.Change = &wire.CatalogChange_RemoveClass{RemoveClass: change.Name}
	case cataloger.PutModel:
		message.Change = &wire.CatalogChange_PutModel{PutModel: encodeModel(change.Model)}
	case cataloger.RemoveModel:
		message.Change = &wire.CatalogChange_RemoveModel{RemoveModel: change.Name}
	case cataloger.PutAdapter:
		message.Change = &wire.CatalogChange_PutAdapter{PutAdapter: encodeAdapter(change.Adapter)}
	case cataloger.RemoveAdapter:
		message.Change = &wire.CatalogChange_RemoveAdapter{RemoveAdapter: change.Name}
	case cataloger.PutUpstream:
		message.Change = &wire.CatalogChange_PutUpstream{PutUpstream: encodeUpstream(change.Upstream)}
	case cataloger.RemoveUpstream:
		message.Change = &wire.CatalogChange_RemoveUpstream{RemoveUpstream: change.Name}
	case cataloger.PutPlacement:
		message.Change = &wire.CatalogChange_PutPlacement{PutPlacement: encodePlacement(change.Placement)}
	case cataloger.PutRelease:
		message.Change = &wire.CatalogChange_PutRelease{PutRelease: encodeRelease(change.Release)}
	case cataloger.RemoveRelease:
		message.Change = &wire.CatalogChange_RemoveRelease{
			RemoveRelease: encodeRelease(cataloger.Release{ReleaseKey: change.ReleaseKey}),
		}
	case cataloger.PutConfiguration:
		message.Change = &wire.CatalogChange_PutConfiguration{
			PutConfiguration: encodeCatalogConfiguration(change.Configuration),
		}
	default:
		return nil, &UnsupportedTypeError{Message: "catalog change"}
	}
	return message, nil
}

func decodeChange(message *wire.CatalogChange) (cataloger.Change, error) {
	switch change := message.GetChange().(type) {
	case *wire.CatalogChange_PutClass:
		return cataloger.PutClass{Class: decodeClass(change.PutClass)}, nil
	case *wire.CatalogChange_RemoveClass:
		return cataloger.RemoveClass{Name: change.RemoveClass}, nil
	case *wire.CatalogChange_PutModel:
		return cataloger.PutModel{Model: decodeModel(change.PutModel)}, nil
	case *wire.CatalogChange_RemoveModel:
		return cataloger.RemoveModel{Name: change.RemoveModel}, nil
	case *wire.CatalogChange_PutAdapter:
		return cataloger.PutAdapter{Adapter: decodeAdapter(change.PutAdapter)}, nil
	case *wire.CatalogChange_RemoveAdapter:
		return cataloger.RemoveAdapter{Name: change.RemoveAdapter}, nil
	case *wire.CatalogChange_PutUpstream:
		upstream, err := decodeUpstream(change.PutUpstream)
		return cataloger.PutUpstream{Upstream: upstream}, err
	case *wire.CatalogChange_RemoveUpstream:
		return cataloger.RemoveUpstream{Name: change.RemoveUpstream}, nil
	case *wire.CatalogChange_PutPlacement:
		placement, err := decodePlacement(change.PutPlacement)
		return cataloger.PutPlacement{Placement: placement}, err
	case *wire.CatalogChange_PutRelease:
		return cataloger.PutRelease{Release: decodeRelease(change.PutRelease)}, nil
	case *wire.CatalogChange_RemoveRelease:
		return cataloger.RemoveRelease{ReleaseKey: decodeRelease(change.RemoveRelease).ReleaseKey}, nil
	case *wire.CatalogChange_PutConfiguration:
		return cataloger.PutConfiguration{
			Configuration: decodeCatalogConfiguration(change.PutConfiguration),
		}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}

func encodeCatalogConfiguration(configuration cataloger.Configuration) *wire.Configuration {
	return &wire.Configuration{Version: configuration.Version, Content: configuration.Content}
}

func decodeCatalogConfiguration(message *wire.Configuration) cataloger.Configuration {
	return cataloger.Configuration{Version: message.GetVersion(), Content: message.GetContent()}
}

func encodeRelease(release cataloger.Release) *wire.Release {
	return &wire.Release{Service: release.Service, Software: release.Software, GoneAt: encodeTime(release.GoneAt)}
}

func decodeRelease(message *wire.Release) cataloger.Release {
	return cataloger.Release{
		ReleaseKey: cataloger.ReleaseKey{Service: message.GetService(), Software: message.GetSoftware()},
		GoneAt:     decodeTime(message.GetGoneAt()),
	}
}

func encodeClass(class classifier.Class) *wire.Class {
	return &wire.Class{
		Name:               class.Name,
		FirstTokenNanos:    int64(class.Target.FirstToken),
		BetweenTokensNanos: int64(class.Target.BetweenTokens),
		WholeNanos:         int64(class.Target.Whole),
		RepeatForbidden:    class.RepeatForbidden,
	}
}

func decodeClass(message *wire.Class) classifier.Class {
	return classifier.Class{
		Name: message.GetName(),
		Target: classifier.Target{
			FirstToken:    time.Duration(message.GetFirstTokenNanos()),
			BetweenTokens: time.Duration(message.GetBetweenTokensNanos()),
			Whole:         time.Duration(message.GetWholeNanos()),
		},
		RepeatForbidden: message.GetRepeatForbidden(),
	}
}

func encodeModel(model cataloger.Model) *wire.Model {
	return &wire.Model{
		Name:        model.Name,
		Service:     model.Service,
		MemoryBytes: model.MemoryBytes,
		Version:     model.Version,
	}
}

func decodeModel(message *wire.Model) cataloger.Model {
	return cataloger.Model{
		Name:        message.GetName(),
		Service:     message.GetService(),
		MemoryBytes: message.GetMemoryBytes(),
		Version:     message.GetVersion(),
	}
}

func encodeAdapter(adapter cataloger.Adapter) *wire.Adapter {
	return &wire.Adapter{
		Name:        adapter.Name,
		Model:       adapter.Model,
		MemoryBytes: adapter.MemoryBytes,
		Version:     adapter.Version,
	}
}

func decodeAdapter(message *wire.Adapter) cataloger.Adapter {
	return cataloger.Adapter{
		Name:        message.GetName(),
		Model:       message.GetModel(),
		MemoryBytes: message.GetMemoryBytes(),
		Version:     message.GetVersion(),
	}
}
