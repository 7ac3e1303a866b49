package provisioner

import (
	"sync/atomic"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/matcher"
	"burdocklink/platform"
	"burdocklink/surveyor"
)

// configured keeps the routes of the configuration in force.
type configured struct {
	table     atomic.Pointer[matcher.Table]
	upstreams *surveyor.Surveyor
	log       *zap.Logger
}

func newConfigured(upstreams *surveyor.Surveyor, log *zap.Logger) *configured {
	return &configured{upstreams: upstreams, log: log}
}

// take brings a catalog's configuration into force where it is newer.
func (c *configured) take(catalog *cataloger.Catalog) {
	stored := catalog.Configuration
	before := c.table.Load()
	if stored.Version == 0 || (before != nil && stored.Version <= before.Configuration.Version) {
		return
	}
	configuration, err := unpack(stored.Content)
	if err != nil {
		c.log.Error("configuration can't be used", zap.Uint64("version", stored.Version), zap.Error(err))
		return
	}
	c.table.Store(matcher.NewTable(configuration))
	c.upstreams.Configure(configuration)
	c.log.Info("configuration in force", zap.Uint64("version", stored.Version),
		zap.Uint64("revision", catalog.Revision), zap.Int("routes", len(configuration.Routes)))
}

func unpack(content []byte) (*matcher.Configuration, error) {
	data, err := platform.Decompress(content)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfiguration(data)
}
