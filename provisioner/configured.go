package provisioner

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/matcher"
	"burdocklink/platform"
	"burdocklink/surveyor"
)

// activeConfiguration holds the routes of the configuration in force.
type activeConfiguration struct {
	table atomic.Pointer[matcher.Table]
	// unusable is true if the newest configuration can't be decoded.
	unusable  atomic.Bool
	upstreams *surveyor.Surveyor
	log       *zap.Logger
}

func newActiveConfiguration(upstreams *surveyor.Surveyor, log *zap.Logger) *activeConfiguration {
	return &activeConfiguration{upstreams: upstreams, log: log}
}

// apply activates the catalog's configuration if it is newer than the one in force.
func (c *activeConfiguration) apply(catalog *cataloger.Catalog) {
	stored := catalog.Configuration
	previous := c.table.Load()
	if stored.Version == 0 || (previous != nil && stored.Version <= previous.Configuration.Version) {
		return
	}
	configuration, err := decodeConfiguration(stored.Content)
	c.unusable.Store(err != nil)
	if err != nil {
		c.log.Error("configuration can't be used", zap.Uint64("version", stored.Version), zap.Error(err))
		return
	}
	c.table.Store(matcher.NewTable(configuration))
	c.upstreams.Configure(configuration)
	c.log.Info("configuration in force", zap.Uint64("version", stored.Version),
		zap.Uint64("revision", catalog.Revision), zap.Int("routes", len(configuration.Routes)),
		zap.Int("organisations", len(configuration.Organisations)))
}

// confirmedBy returns a function that tells when the table was last known to be that of the
// newest configuration; zero if it is not. SyncedAt tells the same of the catalog.
func (c *activeConfiguration) confirmedBy(syncedAt func() time.Time) func() time.Time {
	return func() time.Time {
		if c.unusable.Load() {
			return time.Time{}
		}
		return syncedAt()
	}
}

func decodeConfiguration(content []byte) (*matcher.Configuration, error) {
	data, err := platform.Decompress(content)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfiguration(data)
}
