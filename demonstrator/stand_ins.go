package demonstrator

import (
	"net"
	"os"
	"path/filepath"
	"time"

	"burdocklink/authenticator"
	"burdocklink/certifier"
	"burdocklink/encoder"
	"burdocklink/faker"
)

// loopback is an address to listen on, with a port that the system chooses.
const loopback = "127.0.0.1:0"

// Names and sizes of the demonstration.
const (
	planningService = "planning"
	calendarService = "calendar"
	baseModel       = "planner-large"
	secondModel     = "planner-small"
	operatorName    = "night-desk"
	adapterName     = "planner-large-weddings"
	gibibyte        = 1 << 30
	engineMemory    = 80 * gibibyte
	engineCount     = 3
	keysMode        = 0o600
)

// zones are the availability zones of the demonstration.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// weights returns the contents of the weight store.
func weights() []encoder.Weights {
	return []encoder.Weights{
		{Name: baseModel, Kind: "model", Service: planningService, Version: "1", MemoryBytes: 30 * gibibyte},
		{Name: secondModel, Kind: "model", Service: planningService, Version: "1", MemoryBytes: 10 * gibibyte},
		{Name: adapterName, Kind: "adapter", Base: baseModel, Version: "1", MemoryBytes: gibibyte},
	}
}

type makeKeys struct{}

// String implements step.
func (makeKeys) String() string { return "make keys" }

// Run writes the keys of an operator and a subscriber to the keys file.
func (makeKeys) Run(ctx *Context) error {
	ctx.OperatorKey = authenticator.NewKey()
	ctx.SubscriberKey = authenticator.NewKey()
	operator := authenticator.Identity{Name: operatorName, Role: authenticator.RoleOperator}
	subscriber := authenticator.Identity{Name: "first-couple", Role: authenticator.RoleSubscriber}
	content, err := authenticator.Add(nil, operator, ctx.OperatorKey)
	if err != nil {
		return err
	}
	content, err = authenticator.Add(content, subscriber, ctx.SubscriberKey)
	if err != nil {
		return err
	}
	return os.WriteFile(ctx.keysPath(), content, keysMode)
}

func (c *Context) keysPath() string { return filepath.Join(c.Folder, "keys.json") }

// keys opens the keys file for one process.
func (c *Context) keys() (*authenticator.Authenticator, error) {
	return authenticator.New(authenticator.Settings{File: c.keysPath()}, c.Log)
}

type makeCertificates struct{}

// String implements step.
func (makeCertificates) String() string { return "make certificates" }

// Run creates an authority, and certificates for the operator and each process.
func (makeCertificates) Run(ctx *Context) error {
	names := []string{operatorName}
	for number := range memberCount {
		names = append(names, memberName(number))
	}
	for number := range entryCount {
		names = append(names, entryName(number))
	}
	return certifier.WriteCertificates(ctx.Folder, names, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
}

// certificates opens the certificate of the named process.
func (c *Context) certificates(name string) (*certifier.Certifier, error) {
	return certifier.New(certifier.Files{
		Certificate: filepath.Join(c.Folder, name+".pem"),
		Key:         filepath.Join(c.Folder, name+"-key.pem"),
		Authority:   filepath.Join(c.Folder, "authority.pem"),
	}, c.Log)
}

func memberName(number int) string { return "control-" + string(rune('1'+number)) }

func entryName(number int) string { return "entry-" + string(rune('1'+number)) }

type startStore struct{}

// String implements step.
func (startStore) String() string { return "start the weight store" }

// Run starts a weight store with short load times.
func (startStore) Run(ctx *Context) error {
	ctx.Store = faker.NewStore(faker.StoreSettings{
		Weights:           weights(),
		LoadsPerSecond:    storeLoadsPerSecond,
		LoadsAtOnce:       storeLoadsAtOnce,
		AdaptersInTransit: storeAdaptersInTransit,
		ModelTime:         modelTime,
		AdapterTime:       adapterTime,
	})
	if err := ctx.Store.Start(loopback); err != nil {
		return err
	}
	ctx.stopLater(ctx.Store)
	return nil
}

type startUpstreams struct{}

// String implements step.
func (startUpstreams) String() string { return "start engines and a plain service" }

// Run starts engines that hold no models, and the calendar service.
func (startUpstreams) Run(ctx *Context) error {
	for number := range engineCount {
		engine := faker.NewEngine(faker.EngineSettings{
			Name:                   engineName(number),
			Incarnation:            "1",
			MemoryBytes:            engineMemory,
			PrefillTokensPerSecond: prefillTokensPerSecond,
			DecodeTokensPerSecond:  decodeTokensPerSecond,
			ReportLag:              reportLag,
			ChecksFence:            true,
			Store:                  ctx.Store.Address(),
		})
		if err := engine.Start(loopback); err != nil {
			return err
		}
		ctx.stopLater(engine)
		ctx.Engines = append(ctx.Engines, engine)
	}
	ctx.Service = faker.NewService(faker.ServiceSettings{Name: calendarService + "-1"})
	if err := ctx.Service.Start(loopback); err != nil {
		return err
	}
	ctx.stopLater(ctx.Service)
	return nil
}

func engineName(number int) string {
	return planningService + "-" + string(rune('1'+number))
}

type startPlatform struct{}

// String implements step.
func (startPlatform) String() string { return "start the platform's list" }

// Run starts a platform that lists the engines and the calendar service.
func (startPlatform) Run(ctx *Context) error {
	var vms []encoder.VM
	for number, engine := range ctx.Engines {
		vms = append(vms, encoder.VM{
			Name:             engineName(number),
			Incarnation:      "1",
			Address:          engine.Address(),
			AvailabilityZone: zones[number%len(zones)],
			Service:          planningService,
			Kind:             "engine",
			State:            "live",
			MemoryBytes:      engineMemory,
			Accelerators:     1,
			Slots:            faker.DefaultSlots,
			ChecksFence:      true,
		})
	}
	vms = append(vms, encoder.VM{
		Name:             calendarService + "-1",
		Incarnation:      "1",
		Address:          ctx.Service.Address(),
		AvailabilityZone: zones[0],
		Service:          calendarService,
		Kind:             "service",
		State:            "live",
	})
	ctx.Platform = faker.NewPlatform(faker.PlatformSettings{VMs: vms})
	if err := ctx.Platform.Start(loopback); err != nil {
		return err
	}
	ctx.stopLater(ctx.Platform)
	return nil
}
