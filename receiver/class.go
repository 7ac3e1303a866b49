package receiver

import (
	"net/http"

	"burdocklink/classifier"
	"burdocklink/encoder"
)

// requestKind selects the default class of a request.
type requestKind int

const (
	kindCompletion requestKind = iota + 1
	kindLookup
	kindAction
)

// kindOf returns the kind of a service call by its HTTP method.
func kindOf(method string) requestKind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return kindLookup
	default:
		return kindAction
	}
}

func (x *exchange) findClass(kind requestKind) (classifier.Class, error) {
	if name := x.r.Header.Get(encoder.HeaderClass); name != "" {
		class, ok := x.catalog.Classes[name]
		if !ok {
			return classifier.Class{}, &UnknownClassError{Name: name}
		}
		return class, nil
	}
	name := x.Settings.Classes.forKind(kind)
	if class, ok := x.catalog.Classes[name]; ok {
		return class, nil
	}
	// an action is non-idempotent unless the operators define its class otherwise
	return classifier.Class{Name: name, RepeatForbidden: kind == kindAction}, nil
}

func (d DefaultClasses) forKind(kind requestKind) string {
	switch kind {
	case kindLookup:
		return d.Lookup
	case kindAction:
		return d.Action
	default:
		return d.Completion
	}
}
