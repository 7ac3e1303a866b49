// Package authenticator identifies the owners of keys. Keys are stored as hashes in
// a file, which is reloaded when it changes.
package authenticator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdocklink/encoder"
	"burdocklink/registrar"
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

// keys groups the keys by the first two bytes of their hashes, so that few are
// compared per request.
type keys struct {
	groups map[[2]byte][]keyEntry
}

type keyEntry struct {
	sum      digest
	identity Identity
}

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
	sum := sha256.Sum256([]byte(key))
	var owner Identity
	found := 0
	for _, candidate := range a.keys.Load().groups[[2]byte(sum[:2])] {
		if subtle.ConstantTimeCompare(candidate.sum[:], sum[:]) == 1 {
			owner = candidate.identity
			found++
		}
	}
	if found == 0 {
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
	parsed := &keys{groups: map[[2]byte][]keyEntry{}}
	seen := map[digest]bool{}
	for i, line := range file.Keys {
		added, err := parseLine(line)
		if err == nil && seen[added.sum] {
			err = &DuplicateKeyError{}
		}
		if err != nil {
			return nil, &LineError{Line: i + 1, Cause: err}
		}
		seen[added.sum] = true
		group := [2]byte(added.sum[:2])
		parsed.groups[group] = append(parsed.groups[group], added)
	}
	return parsed, nil
}

func parseLine(line encoder.KeyLine) (keyEntry, error) {
	if line.Name == "" {
		return keyEntry{}, &EmptyNameError{}
	}
	role, err := ParseRole(line.Role)
	if err != nil {
		return keyEntry{}, err
	}
	sum, err := parseHash(line.Hash)
	if err != nil {
		return keyEntry{}, err
	}
	return keyEntry{sum: sum, identity: Identity{Name: line.Name, Role: role}}, nil
}
