package faker_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/faker"
)

// order returns an order to load a model.
func order(id, fence uint64, model string, bytes int64) encoder.OrderRequest {
	return encoder.OrderRequest{
		ID:          id,
		Incarnation: "one",
		Kind:        "load-model",
		Model:       model,
		Version:     "1",
		MemoryBytes: bytes,
		Fence:       fence,
		NotAfter:    time.Now().Add(testTimeout),
	}
}

// waitForOrder polls an order until it has ended.
func waitForOrder(t *testing.T, url string, id uint64) encoder.OrderReply {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(url + encoder.PathOrders + "/" + strconv.FormatUint(id, 10))
		assert.NilError(t, err)
		var reply encoder.OrderReply
		err = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
		if err == nil && response.StatusCode != http.StatusNotFound && reply.State != "running" {
			return reply
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("order %d did not end", id)
	return encoder.OrderReply{}
}

func TestOrdersAreChecked(t *testing.T) {
	expired := order(3, 30, "pite", 10)
	expired.NotAfter = time.Now().Add(-time.Second)
	otherIncarnation := order(4, 40, "pite", 10)
	otherIncarnation.Incarnation = "two"
	tests := map[string]struct {
		checksFence bool
		order       encoder.OrderRequest
		state       string
		reason      string
	}{
		"new":                   {true, order(2, 20, "pite", 10), "done", ""},
		"old fence checked":     {true, order(2, 5, "pite", 10), "refused", "old fence"},
		"old fence not checked": {false, order(2, 5, "pite", 10), "done", ""},
		"past its deadline":     {true, expired, "refused", "too late"},
		"wrong incarnation":     {true, otherIncarnation, "refused", "wrong incarnation"},
		"repeated order":        {true, order(1, 10, "krem", 10), "done", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, url := startEngine(t, faker.EngineSettings{ChecksFence: test.checksFence})
			send(t, url+encoder.PathOrders, "", order(1, 10, "krem", 10))
			waitForOrder(t, url, 1)

			send(t, url+encoder.PathOrders, "", test.order)

			reply := waitForOrder(t, url, test.order.ID)
			assert.Equal(t, reply.State, test.state)
			assert.Equal(t, reply.Reason, test.reason)
		})
	}
}

func TestOvercommitIsRecordedAndNotRefused(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{})

	send(t, url+encoder.PathOrders, "", order(1, 1, "pite", 61))

	assert.Equal(t, waitForOrder(t, url, 1).State, "done")
	record := engine.Record()
	assert.Equal(t, len(record.Violations), 1)
	assert.Equal(t, record.MostUsedBytes, int64(101))
}

func TestRepeatedOrderTakesMemoryOnce(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{})
	for range 3 {
		send(t, url+encoder.PathOrders, "", order(1, 1, "pite", 50))
	}
	waitForOrder(t, url, 1)

	record := engine.Record()
	assert.Equal(t, record.MostUsedBytes, int64(90))
	assert.Equal(t, len(record.Orders), 3)
	assert.Equal(t, record.Orders[2].Repeated, true)
}

func TestUnloadFreesMemoryAfterTheRequests(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{DecodeTokensPerSecond: 500})
	response := send(t, url+encoder.PathChat, "r1", chat(50))
	unload := order(1, 1, "torta", 0)
	unload.Kind = "unload-model"

	send(t, url+encoder.PathOrders, "", unload)

	assert.Equal(t, engine.Record().UsedBytes, int64(40))
	assert.Equal(t, readEvents(response.Body).complete, true)
	assert.Equal(t, waitForOrder(t, url, 1).State, "done")
	assert.Equal(t, engine.Record().UsedBytes, int64(0))
}

func TestOrderFaults(t *testing.T) {
	tests := map[string]struct {
		faults encoder.EngineFaults
		runs   bool
	}{
		"order lost": {encoder.EngineFaults{LoseOrders: 1}, false},
		"reply lost": {encoder.EngineFaults{LoseOrderReplies: 1}, true},
		"order late": {encoder.EngineFaults{LateOrders: 1, LateOrderMilliseconds: 5}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine, url := startEngine(t, faker.EngineSettings{})
			engine.SetFaults(test.faults)
			body, err := json.Marshal(order(1, 1, "pite", 10))
			assert.NilError(t, err)

			_, err = http.Post(url+encoder.PathOrders, "application/json", newReader(body))

			assert.Assert(t, err != nil)
			if test.runs {
				assert.Equal(t, waitForOrder(t, url, 1).State, "done")
				return
			}
			assert.Equal(t, len(engine.Record().Orders), 0)
		})
	}
}

func TestLoadFetchesFromStore(t *testing.T) {
	store := faker.NewStore(faker.StoreSettings{
		Weights: []encoder.Weights{{Name: "pite", Kind: "model", Version: "1", MemoryBytes: 33}},
	})
	assert.NilError(t, store.Start("127.0.0.1:0"))
	defer func() { _ = store.Stop(time.Now().Add(testTimeout)) }()
	engine, url := startEngine(t, faker.EngineSettings{Store: store.Address()})

	send(t, url+encoder.PathOrders, "", order(1, 1, "pite", 30))
	send(t, url+encoder.PathOrders, "", order(2, 2, "absent", 30))

	assert.Equal(t, waitForOrder(t, url, 1).State, "done")
	assert.Equal(t, waitForOrder(t, url, 2).State, "refused")
	assert.Equal(t, engine.Record().UsedBytes, int64(73))
	assert.Equal(t, store.Record().Fetches, 1)
}
