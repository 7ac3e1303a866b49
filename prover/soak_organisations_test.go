package prover_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the platform on keys and quotas.
const (
	revokeTime   = 5 * time.Second
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 50
)

const (
	// soakKey is the key of the callers, whose organisation has no quota.
	soakKey = "kept"
	// hotKey is the key of an organisation that asks for more than its quota, in requests
	// per second.
	hotKey   = "hot"
	hotQuota = 10
)

// soakOrganisations returns the organisations of a version. Each version has a key that the
// next one takes away.
func soakOrganisations(version int) string {
	return fmt.Sprintf(`[{"name":"acme","apiKeys":[%q,%q]},{"name":"hot","apiKeys":[%q],"ratePerS":%d,"burst":%d}]`,
		soakKey, revokedKey(version), hotKey, hotQuota, hotQuota)
}

func revokedKey(version int) string { return fmt.Sprint("key-", version) }

// runRevoked sends requests with keys that were taken away long enough ago. None may run.
func (s *soak) runRevoked() {
	defer s.callers.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for count := 0; !s.done.Load(); count++ {
		if version, ok := s.observations.revokedVersion(time.Now()); ok {
			s.sendWithKey(client, s.processes[count%2], fmt.Sprint("revoked-", count), revokedKey(version))
		}
		time.Sleep(pollInterval)
	}
}

// revokedVersion returns a version whose key was taken away more than revokeTime before.
func (r *soakObservations) revokedVersion(at time.Time) (int, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, ack := range r.acknowledged[:max(0, len(r.acknowledged)-1)] {
		next := r.acknowledged[i+1]
		if next.version > ack.version && at.Sub(next.at) > revokeTime && at.Sub(next.at) < 2*revokeTime {
			return ack.version, true
		}
	}
	return 0, false
}

// runHot sends several times what the quota of an organisation allows.
func (s *soak) runHot() {
	defer s.callers.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for count := 0; !s.done.Load(); count++ {
		s.sendWithKey(client, s.processes[count%2], fmt.Sprint("hot-", count), hotKey)
		time.Sleep(pollInterval)
	}
}

// sendWithKey sends one booking and drops its answer.
func (s *soak) sendWithKey(client *http.Client, to soakProcess, id, key string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(to.host, frontOffset)+"/book/"+id, strings.NewReader("body"))
	if err != nil {
		s.observations.addViolation("%s: %v", id, err)
		return
	}
	request.Host, request.GetBody = "a.example", nil
	request.Header.Set("Burdocklink-Request-Id", id)
	request.Header.Set("Burdocklink-Request-Timeout-Ms", "900")
	request.Header.Set("Authorization", "Bearer "+key)
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// sendCrowd has clients that don't behave come to an entry for a short time.
func (s *soak) sendCrowd(entry soakProcess) {
	kinds := crowds()
	kind := kinds[slices.Sorted(maps.Keys(kinds))[s.random.IntN(len(kinds))]]
	kind.clients = min(kind.clients, 50)
	s.endLater(300, 1500, kind.join(s.address(entry.host, frontOffset), "/book/crowd"))
}

// checkOrganisations finds keys that reached a server, requests with revoked keys that ran,
// and more requests of an organisation than its quota allows.
func (s *soak) checkOrganisations() {
	var hot []time.Time
	for _, server := range s.servers {
		server.mutex.Lock()
		if server.keysReceived != "" {
			s.observations.addViolation("%s received a key", server.id)
		}
		for id := range server.runs {
			if strings.HasPrefix(id, "revoked-") {
				s.observations.addViolation("%s ran with a key that was taken away", id)
			}
		}
		hot = append(hot, server.runsByOrganisation["hot"]...)
		server.mutex.Unlock()
	}
	slices.SortFunc(hot, time.Time.Compare)
	allowed := (hotQuota*quotaWindow.Seconds()+hotQuota)*(1+quotaOverage) + quotaSlack
	for first := range hot {
		last, _ := slices.BinarySearchFunc(hot, hot[first].Add(quotaWindow), time.Time.Compare)
		if float64(last-first) > allowed {
			s.observations.addViolation("%d requests of an organisation in a window, %.0f are allowed", last-first, allowed)
			return
		}
	}
	s.t.Logf("%d requests of the hot organisation ran", len(hot))
}
