package applier

import "burdocklink/cataloger"

// applyConfiguration stores the configuration if it is newer than the stored
// one.
func (s *State) applyConfiguration(configuration cataloger.Configuration) Applied {
	if configuration.Version <= s.catalog.Configuration.Version {
		return Applied{Result: Nothing{}, Delta: s.commit(nil)}
	}
	delta := s.commit([]cataloger.Change{cataloger.PutConfiguration{Configuration: configuration}})
	return Applied{Result: Accepted{Revision: delta.To}, Delta: delta}
}
