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

// settingsPollInterval is how often the settings file is looked at, since it may
// change without a signal.
const settingsPollInterval = time.Second

// settingsWatcher reads the platform's settings file again when it changes.
type settingsWatcher struct {
	path     string
	current  platform.Settings
	modTime  time.Time
	onReload func(platform.Settings)
	// hangups ask for the settings to be read again.
	hangups <-chan os.Signal
	log     *zap.Logger
	stop    chan struct{}
}

func newSettingsWatcher(path string, current platform.Settings, onReload func(platform.Settings), hangups <-chan os.Signal, log *zap.Logger) *settingsWatcher {
	return &settingsWatcher{path: path, current: current, onReload: onReload, hangups: hangups, log: log, stop: make(chan struct{})}
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
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-w.hangups:
			w.log.Info("asked to read the settings again")
			w.reload()
		case <-ticker.C:
			w.poll()
		}
	}
}

// poll reads the file where its time of change differs.
func (w *settingsWatcher) poll() {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modTime) {
		return
	}
	w.modTime = info.ModTime()
	w.reload()
}

// reload takes in the file. One that can't be used leaves the settings as they
// are.
func (w *settingsWatcher) reload() {
	settings, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Warn("settings stay as they were", zap.Error(err))
		return
	}
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.onReload(settings)
	w.log.Info("settings reloaded", zap.Strings("seeds", settings.Seeds))
}
