// Package watcher polls the platform's list of VMs, the weight store's list and the
// engines' reports, and proposes the changes. It runs on every control member, and polls
// only while its member is the leader.
package watcher

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/dispatcher"
	"burdocklink/registrar"
)

// Name is the service's name in the kernel.
const Name = "watcher"

const (
	pollInterval = time.Second
	// pollTimeout is the timeout of one poll of all lists and engines.
	pollTimeout    = 2 * time.Second
	proposeTimeout = 3 * time.Second
)

// Settings configure a Watcher.
type Settings struct {
	// Platform and Store are base URLs.
	Platform string
	Store    string
	Group    conductor.Proposer
	Log      *zap.Logger
}

// Watcher polls the lists and compares them with the catalog.
type Watcher struct {
	settings Settings
	client   *http.Client
	absent   absences
	reports  *reportTable
	// term is the leader's term at the time of the poll, sequence counts the proposals.
	// Both are used by the loop only.
	term     uint64
	sequence uint64
	stop     chan struct{}
	stopped  chan struct{}
}

// New returns a watcher that has not started.
func New(settings Settings) *Watcher {
	return &Watcher{
		settings: settings,
		client:   newClient(),
		absent:   absences{},
		reports:  newReportTable(),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// newClient returns a client that opens a new connection for each request, so that a
// connection that has gone silent can't block the next poll.
func newClient() *http.Client {
	return &http.Client{Transport: dispatcher.NewTransport()}
}

// String names the service.
func (w *Watcher) String() string { return Name }

// Start starts polling.
func (w *Watcher) Start(context.Context, *registrar.Registrar) error {
	go w.loop()
	return nil
}

// Stop ends polling and waits for the loop until the deadline.
func (w *Watcher) Stop(deadline time.Time) error {
	close(w.stop)
	select {
	case <-w.stopped:
	case <-time.After(time.Until(deadline)):
	}
	return nil
}

func (w *Watcher) loop() {
	defer close(w.stopped)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			state := w.settings.Group.Status()
			if state.Leading {
				w.term = state.Term
				w.poll()
			}
		}
	}
}

// poll reads each list once. A list that can't be read causes no changes.
func (w *Watcher) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	if err := w.pollVMs(ctx); err != nil {
		w.settings.Log.Warn("polling the platform's list failed", zap.Error(err))
	}
	if err := w.pollWeights(ctx); err != nil {
		w.settings.Log.Warn("polling the weight store's list failed", zap.Error(err))
	}
	w.pollEngines(ctx)
}

func (w *Watcher) pollVMs(ctx context.Context) error {
	listed, err := w.fetchVMs(ctx)
	if err != nil {
		return err
	}
	catalog, err := w.catalog(ctx)
	if err != nil {
		return err
	}
	return w.propose(ctx, CompareUpstreams(catalog, listed, w.absent))
}

func (w *Watcher) pollWeights(ctx context.Context) error {
	listed, err := w.fetchWeights(ctx)
	if err != nil {
		return err
	}
	catalog, err := w.catalog(ctx)
	if err != nil {
		return err
	}
	return w.propose(ctx, CompareWeights(catalog, listed))
}

func (w *Watcher) propose(ctx context.Context, changes []cataloger.Change) error {
	if len(changes) == 0 {
		return nil
	}
	proposeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
	defer cancel()
	w.sequence++
	command := applier.Watch{Term: w.term, Sequence: w.sequence, Changes: changes}
	applied, err := w.settings.Group.Propose(proposeCtx, command)
	if err != nil {
		return err
	}
	w.settings.Log.Info("lists changed",
		zap.Int("changes", len(changes)),
		zap.Uint64("revision", applied.Delta.To))
	return nil
}

func (w *Watcher) catalog(ctx context.Context) (*cataloger.Catalog, error) {
	var catalog *cataloger.Catalog
	err := w.settings.Group.Read(ctx, func(state *applier.State) { catalog = state.Catalog() })
	return catalog, err
}
