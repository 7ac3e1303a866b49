// Package authenticator identifies the owners of keys. Keys are stored as hashes in
// a file, which is reloaded when it changes.
package authenticator

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdocklink/encoder"
	"burdocklink/registrar"
	"burdocklink/verifier"
)

// Settings are the settings of an authenticator.
type Settings struct {
	// File is the path of the keys file.
	File string
	// ReloadInterval is the time between two checks of the file; zero means two
	// seconds.
	ReloadInterval time.Duration
}

const defaultReloadInterval = 2 * time.Second

// Authenticator authenticates keys. Authenticate is safe for concurrent use.
type Authenticator struct {
	settings Settings
	log      *zap.Logger
	keys     atomic.Pointer[keys]
	content  []byte
	stopping chan struct{}
	stopped  chan struct{}
}

// keys maps the keys of a file to their owners.
type keys = verifier.Index[Identity]

// New returns an authenticator with the keys of its file. The error is that of
// Reload.
func New(settings Settings, log *zap.Logger) (*Authenticator, error) {
	if settings.ReloadInterval <= 0 {
		settings.ReloadInterval = defaultReloadInterval
	}
	a := &Authenticator{
		settings: settings,
		log:      log,
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	if err := a.Reload(); err != nil {
		return nil, err
	}
	return a, nil
}

// String returns the name of the service.
func (a *Authenticator) String() string { return "authenticator" }

// Start starts watching the file.
func (a *Authenticator) Start(context.Context, *registrar.Registrar) error {
	go a.run()
	return nil
}

// Stop stops watching the file. The keys stay in force.
func (a *Authenticator) Stop(time.Time) error {
	close(a.stopping)
	<-a.stopped
	return nil
}

// Authenticate returns the owner of a key. The error is a *MissingKeyError or
// an *UnknownKeyError.
func (a *Authenticator) Authenticate(key string) (Identity, error) {
	if key == "" {
		return Identity{}, &MissingKeyError{}
	}
	owner, found := a.keys.Load().Find(key)
	if !found {
		return Identity{}, &UnknownKeyError{}
	}
	return owner, nil
}

// Reload reads the file. If the file is unusable, the current keys stay in force and
// an error is returned.
func (a *Authenticator) Reload() error {
	content, err := os.ReadFile(a.settings.File)
	if err != nil {
		return err
	}
	if bytes.Equal(content, a.content) && a.keys.Load() != nil {
		return nil
	}
	parsed, err := parseKeys(content)
	if err != nil {
		return err
	}
	a.content = content
	a.keys.Store(parsed)
	return nil
}

func (a *Authenticator) run() {
	defer close(a.stopped)
	ticker := time.NewTicker(a.settings.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.stopping:
			return
		case <-ticker.C:
			if err := a.Reload(); err != nil {
				a.log.Warn("keys file not reloaded; keeping the current keys", zap.Error(err))
			}
		}
	}
}

func parseKeys(content []byte) (*keys, error) {
	file, err := encoder.DecodeKeys(content)
	if err != nil {
		return nil, err
	}
	parsed := verifier.New[Identity]()
	for i, line := range file.Keys {
		sum, identity, err := parseLine(line)
		if err == nil {
			if _, added := parsed.Add(sum, identity); !added {
				err = &DuplicateKeyError{}
			}
		}
		if err != nil {
			return nil, &LineError{Line: i + 1, Cause: err}
		}
	}
	return parsed, nil
}

func parseLine(line encoder.KeyLine) (verifier.Digest, Identity, error) {
	if line.Name == "" {
		return verifier.Digest{}, Identity{}, &EmptyNameError{}
	}
	role, err := ParseRole(line.Role)
	if err != nil {
		return verifier.Digest{}, Identity{}, err
	}
	sum, err := parseHash(line.Hash)
	return sum, Identity{Name: line.Name, Role: role}, err
}
