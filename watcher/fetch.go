package watcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

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

func (w *Watcher) fetchVMs(ctx context.Context) ([]cataloger.Upstream, error) {
	var listed []encoder.VM
	if err := w.fetch(ctx, w.settings.Platform+encoder.PathVMs, &listed); err != nil {
		return nil, err
	}
	var upstreams []cataloger.Upstream
	for _, vm := range listed {
		upstream, err := encoder.DecodeVM(vm)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, upstream)
	}
	return upstreams, nil
}

func (w *Watcher) fetchWeights(ctx context.Context) ([]cataloger.Change, error) {
	var listed []encoder.Weights
	if err := w.fetch(ctx, w.settings.Store+encoder.PathWeights, &listed); err != nil {
		return nil, err
	}
	var changes []cataloger.Change
	for _, weights := range listed {
		changes = append(changes, encoder.DecodeWeights(weights))
	}
	return changes, nil
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &ListError{URL: url, Cause: err}
	}
	response, err := w.client.Do(request)
	if err != nil {
		return &ListError{URL: url, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &ListError{URL: url, Cause: &StatusError{Status: response.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(into); err != nil {
		return &ListError{URL: url, Cause: err}
	}
	return nil
}
