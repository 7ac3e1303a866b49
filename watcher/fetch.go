package watcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/estimator"
)

// maxListBytes is the size limit of a list.
const maxListBytes = 64 << 20

// ListError is returned if a list or report can't be read.
type ListError struct {
	URL   string
	Cause error
}

// Error returns the URL and the cause.
func (e *ListError) Error() string { return "read " + e.URL + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Cause }

// StatusError is returned if the status of an answer is not 200.
type StatusError struct{ Status int }

// Error returns the status.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// fetchVMs returns the upstreams in the platform's list. Unusable items are skipped and
// don't affect the others; the first of several with one name counts.
func (w *Watcher) fetchVMs(ctx context.Context) ([]cataloger.Upstream, error) {
	items, err := w.fetchItems(ctx, w.settings.Platform+encoder.PathVMs)
	if err != nil {
		return nil, err
	}
	var upstreams []cataloger.Upstream
	named := map[string]bool{}
	for _, item := range items {
		var vm encoder.VM
		if err := json.Unmarshal(item, &vm); err != nil {
			w.skip("platform", err)
			continue
		}
		upstream, err := encoder.DecodeVM(vm)
		if err != nil || named[vm.Name] {
			w.skip("platform", err)
			continue
		}
		named[vm.Name] = true
		upstreams = append(upstreams, upstream)
	}
	return upstreams, nil
}

// fetchWeights returns what adds the items of the weight store's list to a catalog.
// Unusable items are skipped.
func (w *Watcher) fetchWeights(ctx context.Context) ([]cataloger.Change, error) {
	items, err := w.fetchItems(ctx, w.settings.Store+encoder.PathWeights)
	if err != nil {
		return nil, err
	}
	var changes []cataloger.Change
	for _, item := range items {
		var weights encoder.Weights
		if err := json.Unmarshal(item, &weights); err != nil {
			w.skip("weight store", err)
			continue
		}
		changes = append(changes, encoder.DecodeWeights(weights))
	}
	return changes, nil
}

// fetchItems returns the items of the list at a URL, without decoding them.
func (w *Watcher) fetchItems(ctx context.Context, url string) ([]json.RawMessage, error) {
	data, err := w.fetchBody(ctx, url)
	if err != nil {
		return nil, err
	}
	if string(bytes.TrimSpace(data)) == "null" {
		return nil, nil
	}
	items, err := encoder.Elements(data)
	if err != nil {
		return nil, &ListError{URL: url, Cause: err}
	}
	return items, nil
}

// skip logs an item of a list that is not used.
func (w *Watcher) skip(list string, err error) {
	w.settings.Log.Warn("unusable item in a list", zap.String("list", list), zap.Error(err))
}

func (w *Watcher) fetchReport(ctx context.Context, address string) (estimator.Report, error) {
	var report encoder.LoadReport
	if err := w.fetch(ctx, "http://"+address+encoder.PathLoad, &report); err != nil {
		return estimator.Report{}, err
	}
	return encoder.DecodeReport(report, time.Now()), nil
}

// fetch decodes the JSON at a URL. The error is a *ListError.
func (w *Watcher) fetch(ctx context.Context, url string, into any) error {
	data, err := w.fetchBody(ctx, url)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &ListError{URL: url, Cause: err}
	}
	return nil
}

// fetchBody returns the body of the answer at a URL. The error is a *ListError.
func (w *Watcher) fetchBody(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &ListError{URL: url, Cause: err}
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, &ListError{URL: url, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &ListError{URL: url, Cause: &StatusError{Status: response.StatusCode}}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, &ListError{URL: url, Cause: err}
	}
	return data, nil
}
