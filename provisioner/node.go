// Package provisioner puts the services of a process on the users' platform
// together: an entry's and a control member's. It is the one place that knows
// which part needs which, and where the platform's adapter is used.
package provisioner

import (
	"net"
	"time"

	"go.uber.org/zap"

	"burdocklink/conductor"
	"burdocklink/platform"
	"burdocklink/registrar"
)

// Settings are what a process on the platform runs with.
type Settings struct {
	platform.Settings
	// Fatal is called once when a control member can't go on.
	Fatal func(error)
	Log   *zap.Logger
}

// Node is a process on the platform that has not started.
type Node struct {
	// Services are in start order.
	Services []registrar.Service
	// Reload takes in settings that have changed.
	Reload func(platform.Settings)
}

const (
	// lingerTime is how long callers' connections are accepted after readiness
	// failed: the platform takes a process out after two questions, one a
	// second.
	lingerTime = 2600 * time.Millisecond
	// dialTimeout is the longest wait for a connection to an upstream. Neighbours
	// answer within milliseconds; a lost packet is sent again after a second.
	dialTimeout = 1500 * time.Millisecond
)

// membersAt returns the members that are reached at addresses. A member's name is
// the address of its links.
func membersAt(addresses []string) []conductor.Member {
	var members []conductor.Member
	for _, address := range addresses {
		members = append(members, conductor.Member{Name: address, Address: address, Role: conductor.Voter})
	}
	return members
}

// votersTolerating is how many voters bear a number of losses.
func votersTolerating(losses int) int { return 2*max(1, losses) + 1 }

// withPort returns the address with another port.
func withPort(address string, port string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}

// loadReportInterval is the time between two tellings of what is in flight, from an entry to
// the leader and back. It is well below the time of a request.
const loadReportInterval = 250 * time.Millisecond
