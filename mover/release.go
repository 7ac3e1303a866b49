package mover

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/historian"
	"burdocklink/surveyor"
)

// updateReleases records the software versions that the platform lists, before the entries
// learn of them.
func (m *Mover) updateReleases(listed map[string]surveyor.Upstream, now time.Time) {
	if m.settings.Streams == nil {
		return
	}
	software := map[string][]string{}
	for _, upstream := range listed {
		software[upstream.Service] = append(software[upstream.Service], upstream.Software)
	}
	m.settings.Streams.SetListed(m.leadership.term, software, now)
	if m.releasesInFlight {
		return
	}
	var releases map[cataloger.ReleaseKey]cataloger.Release
	if err := m.settings.Group.Read(m.ctx, func(state *applier.State) { releases = state.Catalog().Releases }); err != nil {
		return
	}
	changes := historian.Changes(releases, software, now)
	if len(changes) == 0 {
		return
	}
	m.settings.Log.Info("software versions in use changed", zap.Int("changes", len(changes)))
	m.releasesInFlight = true
	m.calls.Add(1)
	go m.runReleases(changes)
}

func (m *Mover) runReleases(changes []cataloger.Change) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	_, err := m.settings.Group.Propose(ctx, applier.Watch{Changes: changes})
	m.post(releasesProposed{err: err})
}
