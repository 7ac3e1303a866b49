package receiver

import (
	"maps"
	"net/http"
	"slices"

	"burdocklink/encoder"
)

const modelOwner = "burdocklink"

func (r *Receiver) answerModels(x *exchange) error {
	catalog := r.Catalog()
	if catalog == nil {
		return &NotReadyError{Cause: &NoCatalogError{}}
	}
	list := encoder.ModelList{Object: "list", Data: []encoder.ModelLine{}}
	for _, name := range slices.Sorted(maps.Keys(catalog.Models)) {
		list.Data = append(list.Data, encoder.ModelLine{ID: name, Object: "model", OwnedBy: modelOwner})
	}
	for _, name := range slices.Sorted(maps.Keys(catalog.Adapters)) {
		list.Data = append(list.Data, encoder.ModelLine{
			ID:      name,
			Object:  "model",
			OwnedBy: modelOwner,
			Parent:  catalog.Adapters[name].Model,
		})
	}
	return x.writeJSON(http.StatusOK, encoder.OutcomeRan, list)
}
