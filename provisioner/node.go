// Package provisioner wires the services of a process on the users' platform: those
// of an entry and those of a control member. It is the only place that knows the
// dependencies between services and that connects them to the platform's adapter.
package provisioner

import (
	"net"
	"time"

	"go.uber.org/zap"

	"burdocklink/conductor"
	"burdocklink/platform"
	"burdocklink/registrar"
)

// Settings are the settings of a process on the platform.
type Settings struct {
	platform.Settings
	// Fatal is called once if a control member fails and can't continue.
	Fatal func(error)
	Log   *zap.Logger
}

// Node holds the services of a process that has not started yet.
type Node struct {
	// Services are in start order.
	Services []registrar.Service
	// Reload applies changed settings.
	Reload func(platform.Settings)
}

const (
	// lingerTime is how long callers' connections are accepted after the process
	// stops being ready. The platform removes a process after two failed readiness
	// probes, which are one second apart.
	lingerTime = 2600 * time.Millisecond
	// dialTimeout is the timeout for a connection to an upstream. Connections take
	// milliseconds, but a lost packet is retransmitted only after a second.
	dialTimeout = 1500 * time.Millisecond
)

// membersAt returns the control members at the link addresses. A member's link
// address is also its name.
func membersAt(addresses []string) []conductor.Member {
	var members []conductor.Member
	for _, address := range addresses {
		members = append(members, conductor.Member{Name: address, Address: address, Role: conductor.Voter})
	}
	return members
}

// votersTolerating returns the number of voters that tolerates the losses.
func votersTolerating(losses int) int { return 2*max(1, losses) + 1 }

// withPort returns the address with its port replaced, or unchanged if it is
// malformed.
func withPort(address string, port string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}

// loadReportInterval is the time between two reports of in-flight requests from an
// entry to the leader, and from the leader back. It is well below the duration of a
// request.
const loadReportInterval = 250 * time.Millisecond
