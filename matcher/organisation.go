package matcher

import (
	"time"

	"burdocklink/verifier"
)

// Organisation is a customer whose callers share its keys and its quota.
type Organisation struct {
	Name string
	// Keys are the digests of the keys in force. Without any, no caller of the
	// organisation is served.
	Keys []verifier.Digest
	// Ranked is true if Rank takes the place of the rank of routes.
	Ranked bool
	Rank   int
	Quota  Quota
}

// Unit is what a quota counts.
type Unit int

const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the prompt tokens and the maximum number of answer tokens.
	Tokens
)

// Quota limits what an organisation uses over all entries together. The zero value is no
// limit.
type Quota struct {
	// PerSecond is the number of units per second, and Burst how many units may be saved
	// up; no limit if PerSecond is 0.
	PerSecond float64
	Burst     float64
	Unit      Unit
	// PlainTokens is what a request that states no tokens counts.
	PlainTokens float64
}

// Limited reports whether there is a limit.
func (q *Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns how many units a request counts. Stated is false if the request gives no
// numbers of tokens.
func (q *Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case stated:
		return float64(tokens)
	default:
		return q.PlainTokens
	}
}

// QuotaBounds are how far the use of a quota may exceed it.
type QuotaBounds struct {
	// Window is the time over which use is counted.
	Window time.Duration
	// Overage is the fraction, and Slack the number of units, by which the use in a window
	// may exceed the quota.
	Overage float64
	Slack   float64
}

// Excess returns how many units beyond the quota may be used in a window.
func (b *QuotaBounds) Excess(quota Quota) float64 {
	return b.Overage*(quota.PerSecond*b.Window.Seconds()+quota.Burst) + b.Slack
}

// organisationFaults returns all faults of the organisations.
func (c *Configuration) organisationFaults() []*InvalidError {
	var faults []*InvalidError
	names := make(map[string]bool, len(c.Organisations))
	owners := verifier.New[string]()
	for i := range c.Organisations {
		organisation := &c.Organisations[i]
		add := func(reason string) {
			faults = append(faults, &InvalidError{Organisation: organisation.Name, Reason: reason})
		}
		switch {
		case organisation.Name == "":
			faults = append(faults, &InvalidError{Reason: "an organisation has no name"})
		case names[organisation.Name]:
			add("another organisation has the same name")
		case organisation.Quota.PerSecond < 0 || organisation.Quota.Burst < 0 || organisation.Quota.PlainTokens < 0:
			add("negative quota")
		}
		names[organisation.Name] = true
		for _, key := range organisation.Keys {
			if owner, added := owners.Add(key, organisation.Name); !added && owner != organisation.Name {
				add("shares a key with " + owner)
			}
		}
	}
	return faults
}
