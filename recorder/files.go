package recorder

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem provides the file operations of a Recorder.
type FileSystem interface {
	// CreateFolder durably creates a folder and its missing parents.
	CreateFolder(path string) error
	// Lock locks a file against other processes until the result is closed. It
	// fails with *LockedError.
	Lock(path string) (io.Closer, error)
	// Append opens a file for appending and creates it if it is missing.
	Append(path string) (File, error)
	Read(path string) ([]byte, error)
	// List returns the file names in a folder in ascending order.
	List(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the creation, renaming and removal of files in a folder
	// durable.
	SyncFolder(path string) error
}

// File is a file open for appending.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// System returns the operating system's file system.
func System() FileSystem { return systemFiles{} }

// systemFiles is the operating system's file system.
type systemFiles struct{}

func (s systemFiles) CreateFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := s.CreateFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, folderMode); err != nil {
		return err
	}
	return s.SyncFolder(parent)
}

func (systemFiles) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, &LockedError{}
	}
	return file, nil
}

func (systemFiles) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (systemFiles) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (systemFiles) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) Remove(path string) error { return os.Remove(path) }

func (systemFiles) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}
