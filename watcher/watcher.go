// Package watcher reads the platform's list of VMs, the weight store's list
// and what engines say they hold, and proposes what changed. It works on every
// control member and proposes only while its member leads.
package watcher

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/registrar"
)

// Name is the service's name in the kernel.
const Name = "watcher"

// Times of the watch.
const (
	// pollInterval is the time between two looks at the lists.
	pollInterval = time.Second
	// pollTimeout is the longest wait for one answer.
	pollTimeout = 2 * time.Second
	// proposeTimeout is the longest wait for a commit.
	proposeTimeout = 3 * time.Second
)

// Settings are what a watcher needs.
type Settings struct {
	// Platform and Store are base URLs.
	Platform string
	Store    string
	Group    conductor.Proposer
	Log      *zap.Logger
}

// Watcher compares the lists with the catalog.
type Watcher struct {
	settings Settings
	client   *http.Client
	absent   absences
	reports  *reportTable
	// term is the leader's when the lists are read, sequence counts the
	// readings; both belong to the loop.
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

// newClient opens a new connection for each poll, so that one which went
// silent can't hold up the next.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// String names the service.
func (w *Watcher) String() string { return Name }

// Start begins to watch.
func (w *Watcher) Start(context.Context, *registrar.Registrar) error {
	go w.loop()
	return nil
}

// Stop ends the watch.
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

// poll reads each list once. A list that can't be read changes nothing.
func (w *Watcher) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	if err := w.pollVMs(ctx); err != nil {
		w.settings.Log.Warn("platform's list", zap.Error(err))
	}
	if err := w.pollWeights(ctx); err != nil {
		w.settings.Log.Warn("weight store's list", zap.Error(err))
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
