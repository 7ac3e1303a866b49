package recorder

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"burdocklink/encoder"
	"burdocklink/replicator"
)

// File names and prefixes.
const (
	lockName        = "lock"
	identityName    = "disk-id"
	partialIdentity = "partial-disk-id"
	partialSnapshot = "partial-snapshot"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	identityBytes   = 16
)

func (r *Recorder) path(name string) string { return filepath.Join(r.folder, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// parseName returns the number that follows a prefix in a file name.
func parseName(name, prefix string) (uint64, bool) {
	digits, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// storeSnapshot durably writes a snapshot. Older snapshots are kept.
func (r *Recorder) storeSnapshot(snapshot replicator.Snapshot) error {
	data, err := encoder.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	frame := encodeFrame(data, 0, snapshot.Index)
	return r.storeFile(partialSnapshot, snapshotName(snapshot.Index), frame)
}

// storeFile durably writes a file. It appears under its name only when it is
// complete.
func (r *Recorder) storeFile(partial, name string, data []byte) error {
	file, err := r.files.Append(r.path(partial))
	if err != nil {
		return err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := r.files.Rename(r.path(partial), r.path(name)); err != nil {
		return err
	}
	return r.files.SyncFolder(r.folder)
}

// loadSnapshot reads the latest snapshot. It returns a zero Snapshot if there is
// none.
func (r *Recorder) loadSnapshot(names []string) (replicator.Snapshot, error) {
	latest, found := uint64(0), false
	for _, name := range names {
		if index, ok := parseName(name, snapshotPrefix); ok {
			latest, found = max(latest, index), true
		}
	}
	if !found {
		return replicator.Snapshot{}, nil
	}
	name := snapshotName(latest)
	data, err := r.files.Read(r.path(name))
	if err != nil {
		return replicator.Snapshot{}, &StorageError{Action: "read " + name, Cause: err}
	}
	content, index, ok := decodeFrame(data, 0)
	if !ok || index != latest {
		return replicator.Snapshot{}, &CorruptionError{File: name, Reason: "it does not match its checksum"}
	}
	return encoder.DecodeSnapshot(content)
}

// loadIdentity reads the folder's identity and founders, or creates an identity for a new
// folder.
func (r *Recorder) loadIdentity(names []string) (string, []Founder, error) {
	if slices.Contains(names, identityName) {
		return r.readIdentity()
	}
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return "", nil, &CorruptionError{File: identityName, Reason: "it is missing beside a log"}
		}
	}
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return "", nil, &StorageError{Action: "make disk identity", Cause: err}
	}
	id := hex.EncodeToString(random)
	if err := r.storeFile(partialIdentity, identityName, encodeFrame(encodeIdentity(id, r.founders), 0, 0)); err != nil {
		return "", nil, &StorageError{Action: "store disk identity", Cause: err}
	}
	return id, r.founders, nil
}

func (r *Recorder) readIdentity() (string, []Founder, error) {
	data, err := r.files.Read(r.path(identityName))
	if err != nil {
		return "", nil, &StorageError{Action: "read disk identity", Cause: err}
	}
	content, _, ok := decodeFrame(data, 0)
	if !ok {
		return "", nil, &CorruptionError{File: identityName, Reason: "it does not match its checksum"}
	}
	id, founders := decodeIdentity(content)
	return id, founders, nil
}

// encodeIdentity encodes an identity as a line, followed by one with the name and the address
// of each founder.
func encodeIdentity(id string, founders []Founder) []byte {
	lines := []string{id}
	for _, founder := range founders {
		lines = append(lines, founder.Name+" "+founder.Address)
	}
	return []byte(strings.Join(lines, "\n"))
}

// decodeIdentity skips lines without an address.
func decodeIdentity(content []byte) (string, []Founder) {
	id, rest, _ := strings.Cut(string(content), "\n")
	var founders []Founder
	for line := range strings.Lines(rest) {
		if name, address, found := strings.Cut(strings.TrimSuffix(line, "\n"), " "); found {
			founders = append(founders, Founder{Name: name, Address: address})
		}
	}
	return id, founders
}
