package launcher

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"burdocklink/platform"
	"burdocklink/registrar"
)

// settingsInterval is how often the settings file is looked at, since it may
// change without a signal.
const settingsInterval = time.Second

// settingsWatcher reads the platform's settings file again when it changes.
type settingsWatcher struct {
	path    string
	current platform.Settings
	changed time.Time
	reload  func(platform.Settings)
	// hangUps ask for the settings to be read again.
	hangUps <-chan os.Signal
	log     *zap.Logger
	stop    chan struct{}
}

func newSettingsWatcher(path string, current platform.Settings, reload func(platform.Settings), hangUps <-chan os.Signal, log *zap.Logger) *settingsWatcher {
	return &settingsWatcher{path: path, current: current, reload: reload, hangUps: hangUps, log: log, stop: make(chan struct{})}
}

// String names the service.
func (w *settingsWatcher) String() string { return "settings-watcher" }

// Start begins to watch.
func (w *settingsWatcher) Start(context.Context, *registrar.Registrar) error {
	go w.run()
	return nil
}

// Stop ends the watch.
func (w *settingsWatcher) Stop(time.Time) error {
	close(w.stop)
	return nil
}

func (w *settingsWatcher) run() {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-w.hangUps:
			w.log.Info("asked to read the settings again")
			w.read()
		case <-ticker.C:
			w.look()
		}
	}
}

// look reads the file where its time of change differs.
func (w *settingsWatcher) look() {
	about, err := os.Stat(w.path)
	if err != nil || about.ModTime().Equal(w.changed) {
		return
	}
	w.changed = about.ModTime()
	w.read()
}

// read takes in the file. One that can't be used leaves the settings as they
// are.
func (w *settingsWatcher) read() {
	read, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Warn("settings stay as they were", zap.Error(err))
		return
	}
	if reflect.DeepEqual(read, w.current) {
		return
	}
	w.current = read
	w.reload(read)
	w.log.Info("settings reloaded", zap.Strings("seeds", read.Seeds))
}
