package receiver

import (
	"net/http"

	"burdocklink/classifier"
	"burdocklink/encoder"
)

// kind is what a request asks for.
type kind int

const (
	kindCompletion kind = iota + 1
	kindLookup
	kindAction
)

// serviceKind tells calls that only read from all others.
func serviceKind(method string) kind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return kindLookup
	default:
		return kindAction
	}
}

func (x *exchange) findClass(kind kind) (classifier.Class, error) {
	if name := x.r.Header.Get(encoder.HeaderClass); name != "" {
		class, ok := x.catalog.Classes[name]
		if !ok {
			return classifier.Class{}, &UnknownClassError{Name: name}
		}
		return class, nil
	}
	name := x.Settings.Classes.of(kind)
	if class, ok := x.catalog.Classes[name]; ok {
		return class, nil
	}
	// without a word of the operators an action counts as not repeatable
	return classifier.Class{Name: name, RepeatForbidden: kind == kindAction}, nil
}

func (d DefaultClasses) of(kind kind) string {
	switch kind {
	case kindLookup:
		return d.Lookup
	case kindAction:
		return d.Action
	default:
		return d.Completion
	}
}
