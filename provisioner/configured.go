package provisioner

import (
	"sync/atomic"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/matcher"
	"burdocklink/platform"
	"burdocklink/surveyor"
)

// activeConfiguration holds the routes of the configuration in force.
type activeConfiguration struct {
	table     atomic.Pointer[matcher.Table]
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
	if err != nil {
		c.log.Error("configuration can't be used", zap.Uint64("version", stored.Version), zap.Error(err))
		return
	}
	c.table.Store(matcher.NewTable(configuration))
	c.upstreams.Configure(configuration)
	c.log.Info("configuration in force", zap.Uint64("version", stored.Version),
		zap.Uint64("revision", catalog.Revision), zap.Int("routes", len(configuration.Routes)))
}

func decodeConfiguration(content []byte) (*matcher.Configuration, error) {
	data, err := platform.Decompress(content)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfiguration(data)
}
