package faker_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/faker"
)

func newReader(body []byte) io.Reader { return bytes.NewReader(body) }

func startService(t *testing.T) (*faker.Service, string) {
	t.Helper()
	service := faker.NewService(faker.ServiceSettings{Name: "naptar-1"})
	assert.NilError(t, service.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = service.Stop(time.Now().Add(testTimeout)) })
	return service, "http://" + service.Address()
}

func TestServiceCountsExecutionsByKey(t *testing.T) {
	service, url := startService(t)
	for range 2 {
		request, err := http.NewRequest(http.MethodPut, url+"/bookings/7?room=2", newReader([]byte("x")))
		assert.NilError(t, err)
		request.Header.Set(encoder.HeaderIdempotencyKey, "k1")
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = response.Body.Close()
	}

	calls := service.Record().Calls
	assert.Equal(t, calls[1].Count, 2)
	assert.Equal(t, calls[1].Path, "/bookings/7?room=2")
	assert.Equal(t, calls[1].BodyDigest, faker.Digest([]byte("x")))
}

func TestServiceFaults(t *testing.T) {
	tests := map[string]struct {
		faults encoder.ServiceFaults
		ran    int
		notRun string
	}{
		"refused":          {encoder.ServiceFaults{RefuseRequests: true}, 0, "true"},
		"failed after run": {encoder.ServiceFaults{FailAfterRun: true}, 1, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			service, url := startService(t)
			service.SetFaults(test.faults)

			response := send(t, url+"/bookings", "r1", "x")

			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, response.Header.Get(encoder.HeaderNotRun), test.notRun)
			assert.Equal(t, len(service.Record().Calls), test.ran)
		})
	}
}

func TestPlatformListLags(t *testing.T) {
	platform := faker.NewPlatform(faker.PlatformSettings{Lag: 50 * time.Millisecond})
	assert.NilError(t, platform.Start("127.0.0.1:0"))
	defer func() { _ = platform.Stop(time.Now().Add(testTimeout)) }()
	platform.Put(encoder.VM{Name: "vm-1", Incarnation: "one", State: "live"})
	platform.Leave("vm-1")

	deadline := time.Now().Add(testTimeout)
	var vms []encoder.VM
	for len(vms) == 0 && time.Now().Before(deadline) {
		response, err := http.Get("http://" + platform.Address() + encoder.PathVMs)
		assert.NilError(t, err)
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&vms))
		_ = response.Body.Close()
	}
	for len(vms) > 0 && vms[0].State == "live" && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		response, err := http.Get("http://" + platform.Address() + encoder.PathVMs)
		assert.NilError(t, err)
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&vms))
		_ = response.Body.Close()
	}

	assert.Equal(t, vms[0].State, "leaving")
	assert.Equal(t, platform.Record().Events[1].Kind, "leaving")
}

func TestLeavingHeaderInAnswers(t *testing.T) {
	_, engineURL := startEngine(t, faker.EngineSettings{})
	_, serviceURL := startService(t)
	for name, url := range map[string]string{
		"engine":  engineURL + encoder.PathModels,
		"service": serviceURL + "/x",
	} {
		t.Run(name, func(t *testing.T) {
			base := strings.TrimSuffix(strings.TrimSuffix(url, "/x"), encoder.PathModels)
			for _, want := range []string{"", encoder.LeavingValue} {
				response, err := http.Get(url)
				assert.NilError(t, err)
				_ = response.Body.Close()
				assert.Equal(t, response.Header.Get(encoder.HeaderLeaving), want)
				response, err = http.Post(base+encoder.PathLeave, "", nil)
				assert.NilError(t, err)
				_ = response.Body.Close()
			}
		})
	}
}
