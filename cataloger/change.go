package cataloger

import "burdocklink/classifier"

// Change is one step between two catalogs.
type Change interface{ change() }

// PutClass adds or replaces a class.
type PutClass struct{ Class classifier.Class }

// RemoveClass removes a class by name.
type RemoveClass struct{ Name string }

// PutModel adds or replaces a model.
type PutModel struct{ Model Model }

// RemoveModel removes a model by name.
type RemoveModel struct{ Name string }

// PutAdapter adds or replaces an adapter.
type PutAdapter struct{ Adapter Adapter }

// RemoveAdapter removes an adapter by name.
type RemoveAdapter struct{ Name string }

// PutUpstream adds or replaces an upstream.
type PutUpstream struct{ Upstream Upstream }

// RemoveUpstream removes an upstream and its placement.
type RemoveUpstream struct{ Name string }

// PutPlacement replaces the placement of an upstream.
type PutPlacement struct{ Placement Placement }

// PutRelease adds or replaces a software version of a service.
type PutRelease struct{ Release Release }

// RemoveRelease removes a software version of a service.
type RemoveRelease struct{ ReleaseKey ReleaseKey }

// PutConfiguration replaces the routing configuration.
type PutConfiguration struct{ Configuration Configuration }

func (PutConfiguration) change() {}
func (PutClass) change()         {}
func (RemoveClass) change()      {}
func (PutModel) change()         {}
func (RemoveModel) change()      {}
func (PutAdapter) change()       {}
func (RemoveAdapter) change()    {}
func (PutUpstream) change()      {}
func (RemoveUpstream) change()   {}
func (PutPlacement) change()     {}
func (PutRelease) change()       {}
func (RemoveRelease) change()    {}

// Delta holds the changes from one revision to a later one.
type Delta struct {
	// From is the revision that the delta applies to.
	From uint64
	// To is the revision that the delta results in.
	To      uint64
	Changes []Change
}

// RevisionGapError reports a delta that starts at another revision than the
// catalog's.
type RevisionGapError struct {
	// Have is the catalog's revision, From the delta's.
	Have, From uint64
}

// Error describes the gap.
func (e *RevisionGapError) Error() string {
	return "delta does not continue the catalog's revision"
}
