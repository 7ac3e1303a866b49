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

// settingsPollInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// settingsWatcher reloads the platform's settings file when it changes.
type settingsWatcher struct {
	path     string
	current  platform.Settings
	modTime  time.Time
	onReload func(platform.Settings)
	// hangups receives SIGHUP, which requests a reload.
	hangups <-chan os.Signal
	log     *zap.Logger
	stop    chan struct{}
}

func newSettingsWatcher(path string, current platform.Settings, onReload func(platform.Settings), hangups <-chan os.Signal, log *zap.Logger) *settingsWatcher {
	return &settingsWatcher{path: path, current: current, onReload: onReload, hangups: hangups, log: log, stop: make(chan struct{})}
}

// String returns the name of the service.
func (w *settingsWatcher) String() string { return "settings-watcher" }

// Start starts the watcher.
func (w *settingsWatcher) Start(context.Context, *registrar.Registrar) error {
	go w.run()
	return nil
}

// Stop stops the watcher.
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
			w.log.Info("received SIGHUP; reloading settings")
			w.reload()
		case <-ticker.C:
			w.poll()
		}
	}
}

// poll reloads the file if its modification time has changed.
func (w *settingsWatcher) poll() {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modTime) {
		return
	}
	w.modTime = info.ModTime()
	w.reload()
}

// reload reads the file and applies changed settings. If the file is unusable, the
// current settings stay in use.
func (w *settingsWatcher) reload() {
	settings, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Warn("settings not reloaded; keeping the current ones", zap.Error(err))
		return
	}
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.onReload(settings)
	w.log.Info("settings reloaded", zap.Strings("seeds", settings.Seeds))
}
