// Package checker validates settings from flags and environment variables as a
// whole, so that one run reports all faults.
package checker

import (
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// Definition describes one setting.
type Definition struct {
	// Name is the flag's long name in kebab case.
	Name string
	// Default is the value if neither a flag nor the environment sets one.
	Default string
	// Usage is the help text, one line.
	Usage string
	// Switch is true for a flag that takes no value.
	Switch bool
	// Secret is true for a value that must not be shown in help.
	Secret bool
}

// environmentPrefix is the prefix of all environment variables.
const environmentPrefix = "BURDOCKLINK_"

// Environment returns the name of the setting's environment variable.
func (d Definition) Environment() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(d.Name, "-", "_"))
}

// Initial returns the value before flags are parsed: the environment variable's if
// set, else the default.
func (d Definition) Initial() string {
	if value, ok := os.LookupEnv(d.Environment()); ok {
		return value
	}
	return d.Default
}

// Fault is an unusable setting.
type Fault struct {
	Setting string
	Value   string
	// Reason describes the fault or the expected value.
	Reason string
}

// SettingsError reports all faults of the settings.
type SettingsError struct{ Faults []Fault }

// Error lists the faults, one per line.
func (e *SettingsError) Error() string {
	lines := []string{"settings can't be used:"}
	for _, fault := range e.Faults {
		lines = append(lines, "  --"+fault.Setting+" "+strconv.Quote(fault.Value)+": "+fault.Reason)
	}
	return strings.Join(lines, "\n")
}

// Reader returns typed values and collects faults.
type Reader struct {
	values map[string]string
	faults []Fault
}

// New returns a reader of values, which are keyed by setting name.
func New(values map[string]string) *Reader {
	return &Reader{values: values}
}

// Err returns a *SettingsError if any value read so far is unusable, else nil.
func (r *Reader) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &SettingsError{Faults: r.faults}
}

// AddFault adds a fault that the caller has found.
func (r *Reader) AddFault(name, reason string) {
	r.faults = append(r.faults, Fault{Setting: name, Value: r.values[name], Reason: reason})
}

// Text returns the value without surrounding space. It may be empty.
func (r *Reader) Text(name string) string {
	return strings.TrimSpace(r.values[name])
}

// Required returns a value that must not be empty.
func (r *Reader) Required(name string) string {
	value := r.Text(name)
	if value == "" {
		r.AddFault(name, "must be given")
	}
	return value
}

// Switch returns a boolean. An empty value is false.
func (r *Reader) Switch(name string) bool {
	value := r.Text(name)
	if value == "" {
		return false
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		r.AddFault(name, "must be true or false")
	}
	return on
}

// Duration returns a duration above zero, such as 5s or 200ms.
func (r *Reader) Duration(name string) time.Duration {
	value, err := time.ParseDuration(r.Text(name))
	if err != nil || value <= 0 {
		r.AddFault(name, "must be a duration above zero, such as 5s or 200ms")
	}
	return value
}

// Count returns an integer from low to high.
func (r *Reader) Count(name string, low, high int) int {
	value, err := strconv.Atoi(r.Text(name))
	if err != nil || value < low || value > high {
		r.AddFault(name, "must be a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return value
}

// Rate returns a number above zero.
func (r *Reader) Rate(name string) float64 {
	value, err := strconv.ParseFloat(r.Text(name), 64)
	if err != nil || !(value > 0) || math.IsInf(value, 1) {
		r.AddFault(name, "must be a number above zero")
	}
	return value
}

// Address returns an IP address with a port.
func (r *Reader) Address(name string) string {
	value := r.Text(name)
	if !isAddress(value) {
		r.AddFault(name, "must be an IP address with a port, such as 127.0.0.1:7400")
	}
	return value
}

// Addresses returns one or more comma-separated addresses.
func (r *Reader) Addresses(name string) []string {
	list := r.List(name)
	if len(list) == 0 {
		r.AddFault(name, "must list one or more addresses, separated by commas")
	}
	for _, value := range list {
		if !isAddress(value) {
			r.AddFault(name, "is no IP address with a port: "+value)
		}
	}
	return list
}

// List returns comma-separated values. The list may be empty.
func (r *Reader) List(name string) []string {
	var list []string
	for value := range strings.SplitSeq(r.Text(name), ",") {
		if value = strings.TrimSpace(value); value != "" {
			list = append(list, value)
		}
	}
	return list
}

// Pairs returns comma-separated NAME=VALUE pairs in the order given.
func (r *Reader) Pairs(name string) []Pair {
	var pairs []Pair
	for _, text := range r.List(name) {
		key, value, found := strings.Cut(text, "=")
		if !found || key == "" || value == "" {
			r.AddFault(name, "must be NAME=VALUE pairs separated by commas, not "+text)
			continue
		}
		pairs = append(pairs, Pair{Name: key, Value: value})
	}
	return pairs
}

// Pair is a NAME=VALUE pair.
type Pair struct{ Name, Value string }

// File returns the path of a file, which must be possible to open, or an empty
// string.
func (r *Reader) File(name string) string {
	path := r.Text(name)
	if path == "" {
		return ""
	}
	file, err := os.Open(path)
	if err != nil {
		r.AddFault(name, "can't be opened: "+err.Error())
		return path
	}
	if err := file.Close(); err != nil {
		r.AddFault(name, "can't be closed: "+err.Error())
	}
	return path
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= 65535
}
