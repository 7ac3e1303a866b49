package surveyor

import "strings"

// Separators in the names that the router uses.
const (
	modelSeparator   = "|"
	adapterSeparator = "/"
)

// HeldName returns the router's name of a model or adapter of a service.
func HeldName(service, model, adapter string) string {
	name := service + modelSeparator + model
	if adapter == "" {
		return name
	}
	return name + adapterSeparator + adapter
}

// ParseHeldName splits a router's name into its parts. ok is false if it is the
// name of a service.
func ParseHeldName(name string) (service, model, adapter string, ok bool) {
	service, held, ok := strings.Cut(name, modelSeparator)
	model, adapter, _ = strings.Cut(held, adapterSeparator)
	return service, model, adapter, ok
}
