package applier

import (
	"burdocklink/cataloger"
	"burdocklink/classifier"
)

// draft overlays a catalog with the names that the changes validated so far put
// or removed. An adapter maps to its base model, or to an empty string once
// removed.
type draft struct {
	classes  map[string]bool
	models   map[string]bool
	adapters map[string]string
	base     *cataloger.Catalog
}

// validateChanges applies the changes in order to a draft. It returns why the
// first invalid one is refused, or an empty string.
func validateChanges(catalog *cataloger.Catalog, changes []cataloger.Change) string {
	d := &draft{
		classes:  map[string]bool{},
		models:   map[string]bool{},
		adapters: map[string]string{},
		base:     catalog,
	}
	for _, change := range changes {
		if reason := d.validate(change); reason != "" {
			return reason
		}
	}
	return ""
}

func (d *draft) hasClass(name string) bool {
	if exists, staged := d.classes[name]; staged {
		return exists
	}
	_, exists := d.base.Classes[name]
	return exists
}

func (d *draft) hasModel(name string) bool {
	if exists, staged := d.models[name]; staged {
		return exists
	}
	_, exists := d.base.Models[name]
	return exists
}

// baseOf returns the base model of an adapter, or an empty string if there is no
// such adapter.
func (d *draft) baseOf(adapter string) string {
	if base, staged := d.adapters[adapter]; staged {
		return base
	}
	return d.base.Adapters[adapter].Model
}

// hasAdapters reports whether the model is the base of any adapter.
func (d *draft) hasAdapters(model string) bool {
	for _, base := range d.adapters {
		if base == model {
			return true
		}
	}
	for name := range d.base.Adapters {
		if d.baseOf(name) == model {
			return true
		}
	}
	return false
}

func (d *draft) validate(change cataloger.Change) string {
	switch change := change.(type) {
	case cataloger.PutClass:
		d.classes[change.Class.Name] = true
		return validateClass(change.Class)
	case cataloger.RemoveClass:
		if !d.hasClass(change.Name) {
			return "unknown class " + change.Name
		}
		d.classes[change.Name] = false
	case cataloger.PutModel:
		return d.putModel(change.Model)
	case cataloger.RemoveModel:
		return d.removeModel(change.Name)
	case cataloger.PutAdapter:
		return d.putAdapter(change.Adapter)
	case cataloger.RemoveAdapter:
		if d.baseOf(change.Name) == "" {
			return "unknown adapter " + change.Name
		}
		d.adapters[change.Name] = ""
	case cataloger.PutUpstream:
		return validateUpstream(change.Upstream)
	case cataloger.RemoveUpstream:
		return validateName("upstream", change.Name)
	case cataloger.PutRelease:
		return validateRelease(change.Release.ReleaseKey)
	case cataloger.RemoveRelease:
		return validateRelease(change.ReleaseKey)
	default:
		return "unknown kind of change"
	}
	return ""
}

func validateRelease(key cataloger.ReleaseKey) string {
	if len(key.Software) > MaxNameBytes {
		return "name of a release too long"
	}
	return validateName("service", key.Service)
}

func validateName(kind, name string) string {
	switch {
	case name == "":
		return "empty name of a " + kind
	case len(name) > MaxNameBytes:
		return "name of a " + kind + " too long"
	default:
		return ""
	}
}

func validateClass(class classifier.Class) string {
	target := class.Target
	if target.FirstToken < 0 || target.BetweenTokens < 0 || target.Whole < 0 {
		return "negative target of class " + class.Name
	}
	if target.Whole > 0 && target.FirstToken > target.Whole {
		return "first token promised after the whole answer in class " + class.Name
	}
	return validateName("class", class.Name)
}

func (d *draft) putModel(model cataloger.Model) string {
	switch {
	case model.MemoryBytes <= 0:
		return "no memory size of model " + model.Name
	case model.Service == "":
		return "no service of model " + model.Name
	case d.baseOf(model.Name) != "":
		return "an adapter has the name " + model.Name
	}
	d.models[model.Name] = true
	return validateName("model", model.Name)
}

func (d *draft) removeModel(name string) string {
	switch {
	case !d.hasModel(name):
		return "unknown model " + name
	case d.hasAdapters(name):
		return "an adapter needs the model " + name
	}
	d.models[name] = false
	return ""
}

func (d *draft) putAdapter(adapter cataloger.Adapter) string {
	switch {
	case adapter.MemoryBytes <= 0:
		return "no memory size of adapter " + adapter.Name
	case !d.hasModel(adapter.Model):
		return "unknown base model of adapter " + adapter.Name
	case d.hasModel(adapter.Name):
		return "a model has the name " + adapter.Name
	}
	d.adapters[adapter.Name] = adapter.Model
	return validateName("adapter", adapter.Name)
}

func validateUpstream(upstream cataloger.Upstream) string {
	switch {
	case upstream.Incarnation == "":
		return "no incarnation of upstream " + upstream.Name
	case upstream.Address == "":
		return "no address of upstream " + upstream.Name
	case upstream.Kind != cataloger.EngineUpstream && upstream.Kind != cataloger.PlainUpstream:
		return "unknown kind of upstream " + upstream.Name
	case upstream.State != cataloger.UpstreamLive && upstream.State != cataloger.UpstreamLeaving:
		return "unknown state of upstream " + upstream.Name
	case upstream.MemoryBytes < 0:
		return "negative memory of upstream " + upstream.Name
	default:
		return validateName("upstream", upstream.Name)
	}
}
