package prover_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/prover"
)

// promisedLimits are the limits that the records of a fleet are checked against.
var promisedLimits = prover.Limits{
	Leave:   6 * time.Second,
	InForce: 10 * time.Second,
	Restore: testTimeout,
}

// client sends requests to stand-ins and to the probes of entries.
var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fleet is a complete system of processes with stand-ins for everything outside.
type fleet struct {
	t       *testing.T
	folder  string
	weights []encoder.Weights
	// weightsFile is the path of the weights in JSON, for the stand-ins.
	weightsFile string
	platform    string
	store       string
	engines     []*upstream
	services    []*upstream
	members     []*member
	entries     []*entry

	subscriberKey string
	operatorKey   string

	mu         sync.Mutex
	records    []prover.Record
	lastNumber int
}

// upstream is a stand-in engine or service behind a proxy.
type upstream struct {
	process *process
	link    *link
	address string
	vm      encoder.VM
	journal string
}

// member is a control member behind a proxy.
type member struct {
	process *process
	link    *link
	name    string
	folder  string
}

// maxConcurrentFleets limits the number of fleets that run at the same time.
const maxConcurrentFleets = 3

// fleetSlots is a semaphore with one slot for each running fleet.
var fleetSlots = make(chan struct{}, maxConcurrentFleets)

// newFleet waits for a slot and starts the platform and the store.
func newFleet(t *testing.T, weights ...encoder.Weights) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{t: t, folder: t.TempDir(), weights: weights}
	f.weightsFile = f.writeJSON("weights.json", weights)
	f.subscriberKey = f.createKey("subscriber", subscriberName)
	f.operatorKey = f.createKey("operator", operatorName)
	f.platform = start(t, "platform", "stand-in", "platform").awaitAddress(t)
	f.store = start(t, "store", "stand-in", "store", "--weights", f.weightsFile,
		"--store-loads-per-second", "100", "--model-time", "50ms", "--adapter-time", "10ms").awaitAddress(t)
	return f
}

// writeJSON writes a value to a JSON file and returns its path.
func (f *fleet) writeJSON(name string, value any) string {
	data, err := json.Marshal(value)
	assert.NilError(f.t, err)
	path := filepath.Join(f.folder, name)
	assert.NilError(f.t, os.WriteFile(path, data, 0o600))
	return path
}

// nextNumber returns an unused number for names.
func (f *fleet) nextNumber() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber++
	return f.lastNumber
}

// record adds records.
func (f *fleet) record(records ...prover.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, records...)
}

// addEngine starts an engine and adds it to the platform's listing.
func (f *fleet) addEngine(name string, memory int64, flags ...string) *upstream {
	f.t.Helper()
	incarnation := fmt.Sprintf("%s-%d", name, f.nextNumber())
	arguments := append([]string{"stand-in", "engine", "--name", name, "--incarnation", incarnation,
		"--memory-bytes", fmt.Sprint(memory), "--store", f.store, "--weights", f.weightsFile,
		"--decode-tokens-per-second", "200"}, flags...)
	added := &upstream{vm: encoder.VM{
		Name:         name,
		Incarnation:  incarnation,
		Service:      "models",
		Kind:         "engine",
		MemoryBytes:  memory,
		Accelerators: 1,
		Slots:        16,
		ChecksFence:  strings.Contains(strings.Join(flags, " "), "--checks-fence"),
	}}
	f.startUpstream(added, arguments)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = append(f.engines, added)
	return added
}

// addService starts a plain service and adds it to the platform's listing.
func (f *fleet) addService(name string, flags ...string) *upstream {
	f.t.Helper()
	added := &upstream{vm: encoder.VM{
		Name:        name,
		Incarnation: fmt.Sprintf("%s-%d", name, f.nextNumber()),
		Service:     "naptar",
		Kind:        "service",
	}}
	f.startUpstream(added, append([]string{"stand-in", "service", "--name", name}, flags...))
	f.services = append(f.services, added)
	return added
}

// startUpstream starts an upstream and adds it to the platform's listing.
func (f *fleet) startUpstream(added *upstream, arguments []string) {
	f.t.Helper()
	added.journal = filepath.Join(f.folder, added.vm.Incarnation+".journal")
	added.process = start(f.t, added.vm.Name, append(arguments, "--journal", added.journal)...)
	added.address = added.process.awaitAddress(f.t)
	added.link = newLink(f.t, added.address)
	added.vm.Address = added.link.listen
	added.vm.AvailabilityZone = "bp-a"
	added.vm.State = "live"
	post(f.t, f.platform, encoder.PathVMs, added.vm)
}

// announceLeaving makes the platform announce that an upstream leaves.
func (f *fleet) announceLeaving(leaving *upstream) {
	f.t.Helper()
	post(f.t, f.platform, encoder.PathVMs+"/"+leaving.vm.Name+"/leave", nil)
	f.record(prover.Leaving{
		At:          time.Now(),
		Upstream:    leaving.vm.Name,
		Incarnation: leaving.vm.Incarnation,
	})
}

// loseEngine kills an engine and removes it from the platform's listing.
func (f *fleet) loseEngine(lost *upstream) {
	f.t.Helper()
	f.record(prover.Loss{At: time.Now(), Upstream: lost.vm.Name, Held: lost.holds()})
	lost.process.kill()
	request, err := http.NewRequest(http.MethodDelete, "http://"+f.platform+encoder.PathVMs+"/"+lost.vm.Name, nil)
	assert.NilError(f.t, err)
	response, err := client.Do(request)
	assert.NilError(f.t, err)
	_ = response.Body.Close()
}

// addMembers starts a group of control members.
func (f *fleet) addMembers(names ...string) {
	f.t.Helper()
	var list []string
	for _, name := range names {
		address := freeAddress(f.t)
		added := &member{
			name:   name,
			folder: filepath.Join(f.folder, name),
			link:   newLink(f.t, address),
		}
		list = append(list, name+"="+added.link.listen)
		f.members = append(f.members, added)
	}
	for _, each := range f.members {
		f.startMember(each, "--members", strings.Join(list, ","))
	}
}

// startMember starts one member behind its proxy.
func (f *fleet) startMember(each *member, flags ...string) {
	f.t.Helper()
	arguments := append([]string{"control", "--name", each.name,
		"--listen", each.link.proxy.Upstream, "--advertise", each.link.listen,
		"--health-listen", "127.0.0.1:0", "--data", each.folder, "--keys", f.keysFile(),
		"--platform", "http://" + f.platform, "--store", "http://" + f.store,
		"--store-loads-per-second", "100", "--store-loads-at-once", "50"}, flags...)
	each.process = start(f.t, each.name, arguments...)
	each.process.awaitServing(f.t)
}

// controlAddresses returns the members' addresses, separated by commas.
func (f *fleet) controlAddresses() string {
	var list []string
	for _, each := range f.members {
		list = append(list, each.link.listen)
	}
	return strings.Join(list, ",")
}

// post sends a value to a stand-in as JSON.
func post(t *testing.T, address, path string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	response, err := client.Post("http://"+address+path, "application/json", strings.NewReader(string(data)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}

// get reads a JSON value from a stand-in.
func get(address, path string, into any) error {
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// readJournal records the runs and the memory use in an upstream's journal.
func (f *fleet) readJournal(from *upstream) {
	file, err := os.Open(from.journal)
	assert.NilError(f.t, err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line encoder.JournalLine
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			f.record(from.records(line)...)
		}
	}
}

// records converts a line of the upstream's journal.
func (u *upstream) records(line encoder.JournalLine) []prover.Record {
	switch {
	case line.Run != nil:
		return []prover.Record{prover.Run{
			Upstream:    u.vm.Name,
			Incarnation: u.vm.Incarnation,
			Request:     callerRequestID(line.Run.RequestID),
			At:          line.Run.Started,
		}}
	case line.Call != nil:
		return []prover.Record{prover.Run{
			Upstream:        u.vm.Name,
			Incarnation:     u.vm.Incarnation,
			Request:         callerRequestID(line.Call.RequestID),
			Subscriber:      line.Call.Subscriber,
			Key:             line.Call.IdempotencyKey,
			RepeatForbidden: line.Call.Method == http.MethodPost,
			At:              line.Call.Ran,
		}}
	case line.UsedBytes > 0:
		return []prover.Record{prover.Memory{
			Upstream:    u.vm.Name,
			Incarnation: u.vm.Incarnation,
			UsedBytes:   line.UsedBytes,
			MemoryBytes: u.vm.MemoryBytes,
		}}
	default:
		return nil
	}
}

// holds queries an engine for the models and adapters that it holds.
func (u *upstream) holds() []string {
	var record encoder.EngineRecord
	if get(u.address, encoder.PathRecord, &record) != nil {
		return nil
	}
	return append(record.Models, record.Adapters...)
}

// attemptSuffixBytes is the length of the suffix that an entry appends to a
// request's ID for each attempt.
const attemptSuffixBytes = len("-00000000-0000-0000-0000-000000000000")

// callerRequestID returns the caller's request ID of an attempt.
func callerRequestID(attempt string) string {
	return attempt[:max(0, len(attempt)-attemptSuffixBytes)]
}

// checkGuarantees reads the journals and reports each violation in the records
// as a test error.
func (f *fleet) checkGuarantees() {
	f.t.Helper()
	for _, each := range slices.Concat(f.engines, f.services) {
		f.readJournal(each)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, violation := range prover.Check(f.records, promisedLimits) {
		f.t.Errorf("guarantee violated: %s", violation)
	}
}
