package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"burdocklink/checker"
	"burdocklink/encoder"
	"burdocklink/faker"
)

// Settings of the stand-ins.
const (
	standInListen              = "listen"
	standInName                = "name"
	standInIncarnation         = "incarnation"
	standInMemoryBytes         = "memory-bytes"
	standInSlots               = "slots"
	standInPrefill             = "prefill-tokens-per-second"
	standInDecode              = "decode-tokens-per-second"
	standInReportLag           = "report-lag"
	standInCacheEventLag       = "cache-event-lag"
	standInPrefixCacheBlocks   = "prefix-cache-blocks"
	standInChecksFence         = "checks-fence"
	standInStore               = "store"
	standInWeights             = "weights"
	standInHolds               = "holds"
	standInLoadTime            = "load-time"
	standInResumeTime          = "resume-time"
	standInJournal             = "journal"
	standInDelay               = "delay"
	standInLag                 = "lag"
	standInVMs                 = "vms"
	standInStoreLoadsPerSecond = "store-loads-per-second"
	standInStoreLoadsAtOnce    = "store-loads-at-once"
	standInAdaptersInTransit   = "adapters-in-transit"
	standInModelTime           = "model-time"
	standInAdapterTime         = "adapter-time"
)

const (
	// standInDrain is the time that requests in flight have to end after a
	// signal.
	standInDrain = 10 * time.Second
	// maxCount bounds all integer settings of the stand-ins.
	maxCount = 1 << 50
)

// standIn is a simulated outside system of package faker.
type standIn interface {
	Start(address string) error
	Address() string
	Stop(deadline time.Time) error
}

func standInCommand() command {
	return command{
		name:  "stand-in",
		usage: "run a stand-in for an outside system, for tests and experiments",
		children: []command{
			standInEngineCommand(),
			standInServiceCommand(),
			standInPlatformCommand(),
			standInStoreCommand(),
		},
	}
}

var standInListenDefinition = checker.Definition{
	Name:    standInListen,
	Default: "127.0.0.1:0",
	Usage:   "IP address and port to listen on; port 0 takes a free one",
}

func standInEngineCommand() command {
	return command{
		name:  "engine",
		usage: "run a stand-in model engine",
		settings: []checker.Definition{
			standInListenDefinition,
			{Name: standInName, Default: "engine-1", Usage: "name of the upstream"},
			{Name: standInIncarnation, Default: "1", Usage: "incarnation of the upstream"},
			{Name: standInMemoryBytes, Default: "80000000000", Usage: "accelerator memory in bytes"},
			{Name: standInSlots, Default: "16", Usage: "number of requests that run at once"},
			{Name: standInPrefill, Default: "8000", Usage: "prompt tokens per second, shared by all requests"},
			{Name: standInDecode, Default: "50", Usage: "answer tokens per second of each request"},
			{Name: standInReportLag, Usage: "age of load reports, such as 500ms; empty for none"},
			{Name: standInCacheEventLag, Usage: "age of cache events, such as 2s; empty for none"},
			{Name: standInPrefixCacheBlocks, Default: "4096", Usage: "blocks of 16 tokens in the prefix cache"},
			{Name: standInChecksFence, Usage: "refuse orders with an outdated fencing token", Switch: true},
			{Name: standInStore, Usage: "IP address and port of the weight store; empty for none"},
			{Name: standInWeights, Usage: "JSON file of the weights that --holds names"},
			{Name: standInHolds, Usage: "names of the weights in memory at the start, separated by commas"},
			{Name: standInJournal, Usage: "file that records each run, one JSON object a line; empty for none"},
			{Name: standInLoadTime, Usage: "time added to the store's for each load"},
			{Name: standInResumeTime, Default: "30s", Usage: "how long a stream without a reader is kept"},
		},
		run: runStandInEngine,
	}
}

func runStandInEngine(call *invocation) error {
	settings := call.settings
	engine := faker.EngineSettings{
		Name:                   settings.Required(standInName),
		Incarnation:            settings.Required(standInIncarnation),
		MemoryBytes:            int64(settings.Count(standInMemoryBytes, 1, maxCount)),
		Slots:                  settings.Count(standInSlots, 1, maxCount),
		PrefillTokensPerSecond: settings.Rate(standInPrefill),
		DecodeTokensPerSecond:  settings.Rate(standInDecode),
		ReportLag:              optionalDuration(settings, standInReportLag),
		CacheEventLag:          optionalDuration(settings, standInCacheEventLag),
		PrefixCacheBlocks:      settings.Count(standInPrefixCacheBlocks, 0, maxCount),
		ChecksFence:            settings.Switch(standInChecksFence),
		Store:                  settings.Text(standInStore),
		LoadTime:               optionalDuration(settings, standInLoadTime),
		ResumeTime:             settings.Duration(standInResumeTime),
		Holds:                  initialWeights(settings),
		Journal:                settings.Text(standInJournal),
	}
	return runStandIn(call, faker.NewEngine(engine))
}

// initialWeights returns the weights that an engine holds at the start. Unknown
// names are reported by settings.Err.
func initialWeights(settings *checker.Reader) []encoder.Weights {
	names := settings.List(standInHolds)
	if len(names) == 0 {
		return nil
	}
	listed := readListFile[encoder.Weights](settings, standInWeights)
	weights := make([]encoder.Weights, 0, len(names))
	for _, name := range names {
		i := slices.IndexFunc(listed, func(each encoder.Weights) bool { return each.Name == name })
		if i < 0 {
			settings.AddFault(standInHolds, "must name weights of the file of --"+standInWeights)
			continue
		}
		weights = append(weights, listed[i])
	}
	return weights
}

func standInServiceCommand() command {
	return command{
		name:  "service",
		usage: "run a stand-in plain service",
		settings: []checker.Definition{
			standInListenDefinition,
			{Name: standInName, Default: "service-1", Usage: "name of the upstream"},
			{Name: standInJournal, Usage: "file that records each run, one JSON object a line; empty for none"},
			{Name: standInDelay, Usage: "time that each call takes; empty for none"},
		},
		run: runStandInService,
	}
}

func runStandInService(call *invocation) error {
	return runStandIn(call, faker.NewService(faker.ServiceSettings{
		Name:    call.settings.Required(standInName),
		Delay:   optionalDuration(call.settings, standInDelay),
		Journal: call.settings.Text(standInJournal),
	}))
}

func standInPlatformCommand() command {
	return command{
		name:  "platform",
		usage: "run a stand-in for the platform's list of VMs",
		settings: []checker.Definition{
			standInListenDefinition,
			{Name: standInLag, Usage: "age of the list served; empty for none"},
			{Name: standInVMs, Usage: "JSON file of the VMs in the list at the start"},
		},
		run: runStandInPlatform,
	}
}

func runStandInPlatform(call *invocation) error {
	return runStandIn(call, faker.NewPlatform(faker.PlatformSettings{
		Lag: optionalDuration(call.settings, standInLag),
		VMs: readListFile[encoder.VM](call.settings, standInVMs),
	}))
}

func standInStoreCommand() command {
	return command{
		name:  "store",
		usage: "run a stand-in weight store",
		settings: []checker.Definition{
			standInListenDefinition,
			{Name: standInWeights, Usage: "JSON file of the weights in the store"},
			{Name: standInStoreLoadsPerSecond, Default: "1.4", Usage: "fetches that may start each second"},
			{Name: standInStoreLoadsAtOnce, Default: "11", Usage: "model fetches at full speed"},
			{Name: standInAdaptersInTransit, Default: "90", Usage: "adapter fetches at full speed"},
			{Name: standInModelTime, Default: "8s", Usage: "time of a model fetch at full speed"},
			{Name: standInAdapterTime, Default: "1s", Usage: "time of an adapter fetch at full speed"},
		},
		run: runStandInStore,
	}
}

func runStandInStore(call *invocation) error {
	return runStandIn(call, faker.NewStore(faker.StoreSettings{
		Weights:           readListFile[encoder.Weights](call.settings, standInWeights),
		LoadsPerSecond:    call.settings.Rate(standInStoreLoadsPerSecond),
		LoadsAtOnce:       call.settings.Count(standInStoreLoadsAtOnce, 1, maxCount),
		AdaptersInTransit: call.settings.Count(standInAdaptersInTransit, 1, maxCount),
		ModelTime:         call.settings.Duration(standInModelTime),
		AdapterTime:       call.settings.Duration(standInAdapterTime),
	}))
}

// runStandIn prints the address and serves until a signal to stop arrives.
func runStandIn(call *invocation, process standIn) error {
	listen := call.settings.Address(standInListen)
	if err := call.settings.Err(); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(call.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := process.Start(listen); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(call.out, "listening "+process.Address()); err != nil {
		return eris.Wrap(err, "print the address")
	}
	return serveStandIn(ctx, call.log, process)
}

func serveStandIn(ctx context.Context, log *zap.Logger, process standIn) error {
	<-ctx.Done()
	log.Info("stopping")
	return process.Stop(time.Now().Add(standInDrain))
}

// optionalDuration returns a duration, or zero if the setting is empty.
func optionalDuration(settings *checker.Reader, name string) time.Duration {
	if settings.Text(name) == "" {
		return 0
	}
	return settings.Duration(name)
}

// readListFile reads a JSON list from the file that a setting names. Faults are
// reported by settings.Err.
func readListFile[T any](settings *checker.Reader, name string) []T {
	path := settings.Text(name)
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		settings.AddFault(name, "must name a file that can be read: "+err.Error())
		return nil
	}
	var list []T
	if err := json.Unmarshal(data, &list); err != nil {
		settings.AddFault(name, "must name a file with a JSON list: "+err.Error())
		return nil
	}
	return list
}
