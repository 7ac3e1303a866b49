package demonstrator

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"burdocklink/administrator"
	"burdocklink/applier"
	"burdocklink/assembler"
	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/conductor"
	"burdocklink/faker"
	"burdocklink/linker"
	"burdocklink/orderer"
	"burdocklink/receiver"
)

const (
	memberCount = 3
	entryCount  = 2
	// readyPollInterval is the time between two checks of readiness.
	readyPollInterval = 100 * time.Millisecond
)

type startControl struct{}

// String implements step.
func (startControl) String() string { return "start control members" }

// Run starts the control members, each with its own data folder, and creates the
// operator's client.
func (startControl) Run(ctx *Context) error {
	members, err := newMembers()
	if err != nil {
		return err
	}
	for _, member := range members {
		ctx.Control = append(ctx.Control, member.Address)
		if err := startMember(ctx, member, members); err != nil {
			return err
		}
	}
	certificates, err := ctx.certificates(operatorName)
	if err != nil {
		return err
	}
	ctx.Operator = administrator.New(administrator.Settings{
		Control: ctx.Control,
		Links:   linker.New(certificates.Client(), linker.NewMeter(metrics.NewRegistry())),
		Key:     ctx.OperatorKey,
	})
	return nil
}

func newMembers() ([]conductor.Member, error) {
	var members []conductor.Member
	for number := range memberCount {
		address, err := faker.FreeAddress()
		if err != nil {
			return nil, err
		}
		members = append(members, conductor.Member{
			Name:    memberName(number),
			Address: address,
			Role:    conductor.Voter,
		})
	}
	return members, nil
}

func startMember(ctx *Context, member conductor.Member, members []conductor.Member) error {
	keys, err := ctx.keys()
	if err != nil {
		return err
	}
	certificates, err := ctx.certificates(member.Name)
	if err != nil {
		return err
	}
	control, err := assembler.NewControl(assembler.ControlSettings{
		Member:       member,
		Listen:       member.Address,
		HealthListen: loopback,
		Folder:       filepath.Join(ctx.Folder, member.Name),
		Peers:        members,
		Platform:     "http://" + ctx.Platform.Address(),
		Store:        "http://" + ctx.Store.Address(),
		Limits: orderer.StoreLimits{
			LoadsPerSecond:    storeLoadsPerSecond,
			LoadsAtOnce:       storeLoadsAtOnce,
			AdaptersInTransit: storeAdaptersInTransit,
		},
		Keys:         keys,
		Certificates: certificates,
		Log:          ctx.Log,
	})
	if err != nil {
		return err
	}
	ctx.Members = append(ctx.Members, control)
	return ctx.startServices(control.Services)
}

type startEntries struct{}

// String implements step.
func (startEntries) String() string { return "start entries" }

// Run starts entries that are each other's peers.
func (startEntries) Run(ctx *Context) error {
	var addresses []string
	for range entryCount {
		address, err := faker.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	for number := range entryCount {
		if err := startEntry(ctx, number, addresses); err != nil {
			return err
		}
	}
	return nil
}

func startEntry(ctx *Context, number int, addresses []string) error {
	keys, err := ctx.keys()
	if err != nil {
		return err
	}
	name := entryName(number)
	zone := zones[number%len(zones)]
	var peers []string
	for other, address := range addresses {
		if other != number {
			peers = append(peers, address)
		}
	}
	certificates, err := ctx.certificates(name)
	if err != nil {
		return err
	}
	entry := assembler.NewEntry(assembler.EntrySettings{
		Name:             name,
		AvailabilityZone: zone,
		PeerListen:       addresses[number],
		Peers:            peers,
		Control:          ctx.Control,
		Callers:          receiver.Settings{Listen: loopback, Entry: name, AvailabilityZone: zone},
		Keys:             keys,
		Certificates:     certificates,
		Log:              ctx.Log,
	})
	ctx.Entries = append(ctx.Entries, entry)
	return ctx.startServices(entry.Services)
}

type setClasses struct{}

// String implements step.
func (setClasses) String() string { return "set classes" }

// Run sets three classes through the operator's client.
func (setClasses) Run(ctx *Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err := ctx.Operator.Change(waitCtx, uuid.NewString(), applier.AnyRevision, []cataloger.Change{
		cataloger.PutClass{Class: classifier.Class{
			Name: "interactive",
			Target: classifier.Target{
				FirstToken:    1500 * time.Millisecond,
				BetweenTokens: 26 * time.Millisecond,
			},
		}},
		cataloger.PutClass{Class: classifier.Class{
			Name:   "lookup",
			Target: classifier.Target{Whole: 2 * time.Second},
		}},
		cataloger.PutClass{Class: classifier.Class{
			Name:            "action",
			Target:          classifier.Target{Whole: 5 * time.Second},
			RepeatForbidden: true,
		}},
	})
	return err
}

type awaitReady struct{}

// String implements step.
func (awaitReady) String() string { return "wait until every model is held and every entry is ready" }

// Run polls until everything is ready. It returns a NotReadyError after
// startTimeout.
func (awaitReady) Run(ctx *Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		missing := ctx.notReady()
		if missing == "" {
			return nil
		}
		select {
		case <-waitCtx.Done():
			return &NotReadyError{Missing: missing}
		case <-ticker.C:
		}
	}
}

// notReady names something that is not ready yet, or returns "".
func (c *Context) notReady() string {
	for _, entry := range c.Entries {
		if !isReady(entry.Receiver.Address()) {
			return "entry " + entry.Receiver.Address()
		}
		catalog := entry.Follower.Catalog()
		for _, each := range weights() {
			if len(catalog.Holders[each.Name]) == 0 {
				return "a copy of " + each.Name
			}
		}
		if _, set := catalog.Classes["action"]; !set {
			return "the classes"
		}
	}
	return ""
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// NotReadyError reports what was not ready after startTimeout.
type NotReadyError struct{ Missing string }

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready in time: " + e.Missing }
