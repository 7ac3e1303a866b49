package cmd

import (
	"time"

	"burdocklink/assembler"
	"burdocklink/checker"
	"burdocklink/receiver"
)

// Settings of an entry.
var (
	entryName = checker.Definition{
		Name:  "name",
		Usage: "this entry's name, unique among the entries",
	}
	entryZone = checker.Definition{
		Name:  "availability-zone",
		Usage: "availability zone of this VM",
	}
	entryListen = checker.Definition{
		Name:    "listen",
		Default: "127.0.0.1:7300",
		Usage:   "IP address and port for callers",
	}
	peerListen = checker.Definition{
		Name:    "peer-listen",
		Default: "127.0.0.1:7301",
		Usage:   "IP address and port for the other entries",
	}
	peerAddresses = checker.Definition{
		Name:  "peers",
		Usage: "addresses of the other entries, separated by commas",
	}
	callersTLS = checker.Definition{
		Name:   "callers-tls",
		Usage:  "serve callers over TLS with this process's certificate",
		Switch: true,
	}
	lingerTime = checker.Definition{
		Name:    "linger",
		Default: "10s",
		Usage:   "how long the listener stays open after readiness has failed during a stop",
	}
	requestTime = checker.Definition{
		Name:    "request-time",
		Default: "10m",
		Usage:   "longest duration of a request",
	}
	bodyBytes = checker.Definition{
		Name:    "body-bytes",
		Default: "4194304",
		Usage:   "largest request body",
	}
	completionClass = checker.Definition{
		Name:    "completion-class",
		Default: "interactive",
		Usage:   "class of completions that don't name one",
	}
	lookupClass = checker.Definition{
		Name:    "lookup-class",
		Default: "lookup",
		Usage:   "class of reading service calls that don't name one",
	}
	actionClass = checker.Definition{
		Name:    "action-class",
		Default: "action",
		Usage:   "class of all other service calls that don't name one",
	}
)

// Bounds of body-bytes.
const (
	minBodyBytes = 1 << 10
	maxBodyBytes = 1 << 30
)

func entryCommand() command {
	return command{
		name:  "entry",
		usage: "run an entry, which takes callers' requests",
		settings: append(tlsSettings(), entryName, entryZone, entryListen, peerListen, peerAddresses,
			callersTLS, controlAddresses, keysFile, lingerTime, requestTime, bodyBytes,
			completionClass, lookupClass, actionClass, drainTime, checkSettings),
		run: runEntry,
	}
}

// readEntrySettings reads the settings of an entry. Faults are reported by
// settings.Err.
func readEntrySettings(settings *checker.Reader) assembler.EntrySettings {
	entry := assembler.EntrySettings{
		Name:             settings.Required(entryName.Name),
		AvailabilityZone: settings.Required(entryZone.Name),
		PeerListen:       settings.Address(peerListen.Name),
		Control:          settings.Addresses(controlAddresses.Name),
	}
	if settings.Text(peerAddresses.Name) != "" {
		entry.Peers = settings.Addresses(peerAddresses.Name)
	}
	entry.Callers = receiver.Settings{
		Listen:           settings.Address(entryListen.Name),
		Entry:            entry.Name,
		AvailabilityZone: entry.AvailabilityZone,
		MaxBodyBytes:     int64(settings.Count(bodyBytes.Name, minBodyBytes, maxBodyBytes)),
		RequestTimeout:   settings.Duration(requestTime.Name),
		Linger:           settings.Duration(lingerTime.Name),
		Classes: receiver.DefaultClasses{
			Completion: settings.Required(completionClass.Name),
			Lookup:     settings.Required(lookupClass.Name),
			Action:     settings.Required(actionClass.Name),
		},
	}
	return entry
}

func runEntry(call *invocation) error {
	settings := readEntrySettings(call.settings)
	settings.Keys = readKeys(call)
	settings.Certificates = readCertificates(call)
	settings.CallersTLS = call.settings.Switch(callersTLS.Name)
	if settings.CallersTLS && settings.Certificates == nil {
		call.settings.AddFault(callersTLS.Name, "needs --"+certificateFile.Name)
	}
	drain := call.settings.Duration(drainTime.Name)
	checkDrain(call.settings, settings.Callers.Linger, drain)
	if err := call.settings.Err(); err != nil {
		return err
	}
	if call.settings.Switch(checkSettings.Name) {
		return nil
	}
	settings.Log = call.log
	return serve(call, drain, assembler.NewEntry(settings).Services)
}

// checkDrain requires that the drain time outlasts the linger time, so that
// requests in flight still have time to end.
func checkDrain(settings *checker.Reader, linger, drain time.Duration) {
	if drain <= linger {
		settings.AddFault(drainTime.Name, "must be longer than --"+lingerTime.Name)
	}
}
