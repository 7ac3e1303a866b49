package surveyor

import "strings"

// separators of the router's names.
const (
	modelSeparator   = "|"
	adapterSeparator = "/"
)

// HeldName is what the router calls a model or adapter of a service.
func HeldName(service, model, adapter string) string {
	name := service + modelSeparator + model
	if adapter == "" {
		return name
	}
	return name + adapterSeparator + adapter
}

// ParseHeldName takes a router's name apart. It is false for the name of a
// service.
func ParseHeldName(name string) (service, model, adapter string, ok bool) {
	service, held, ok := strings.Cut(name, modelSeparator)
	model, adapter, _ = strings.Cut(held, adapterSeparator)
	return service, model, adapter, ok
}
