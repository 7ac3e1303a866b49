package recorder

import (
	"slices"
	"strings"
)

// Names of the files of a folder whose content was set aside. The marker settingAside
// exists while files are being renamed; setAside exists afterwards and is kept.
const (
	asidePrefix         = "damaged-"
	settingAside        = "setting-aside"
	partialSettingAside = "partial-setting-aside"
	setAside            = "set-aside"
)

// SetAside renames the log, snapshots and identity of a damaged folder, so that the
// next Open finds an empty folder and gives it a new identity. Nothing is removed. It
// may be repeated after a crash. The error is a *StorageError.
func SetAside(settings Settings) error {
	r := newRecorder(settings)
	lock, err := r.files.Lock(r.path(lockName))
	if err != nil {
		return &StorageError{Action: "lock folder", Cause: err}
	}
	r.lock = lock
	err = r.storeFile(partialSettingAside, settingAside, nil)
	if err == nil {
		err = r.renameDamaged()
	}
	if err != nil {
		return r.releaseLock(&StorageError{Action: "set damaged files aside", Cause: err})
	}
	return r.releaseLock(nil)
}

// finishSettingAside continues an interrupted SetAside.
func (r *Recorder) finishSettingAside(names []string) error {
	if !slices.Contains(names, settingAside) {
		return nil
	}
	if err := r.renameDamaged(); err != nil {
		return &StorageError{Action: "set damaged files aside", Cause: err}
	}
	return nil
}

// renameDamaged durably renames the damaged files, then the marker.
func (r *Recorder) renameDamaged() error {
	names, err := r.files.List(r.folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name != identityName && !strings.HasPrefix(name, segmentPrefix) && !strings.HasPrefix(name, snapshotPrefix) {
			continue
		}
		if err := r.files.Rename(r.path(name), r.path(asidePrefix+name)); err != nil {
			return err
		}
	}
	if err := r.files.SyncFolder(r.folder); err != nil {
		return err
	}
	if err := r.files.Rename(r.path(settingAside), r.path(setAside)); err != nil {
		return err
	}
	return r.files.SyncFolder(r.folder)
}
