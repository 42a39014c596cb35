package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

// Disk is where files are stored. Tests replace it to make writes fail.
type Disk interface {
	// Replace puts data in place of what the file holds, all of it or nothing.
	Replace(path string, data []byte) error
}

// localDisk is the file system of the machine.
type localDisk struct{}

// Replace writes a temporary file beside path and renames it. Its name is unique, as two processes may write at a time during a
// handover. The file is not synced: after a crash of the machine a snapshot may be lost, and its checksum then says so.
func (localDisk) Replace(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // fails once it is renamed
	_, err = temporary.Write(data)
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}

// abandonedAfter is the age from which a temporary file belongs to no process that still writes it.
const abandonedAfter = time.Minute

// removeAbandoned removes the temporary files of processes that were killed while they wrote.
func (f File) removeAbandoned(now time.Time) {
	temporaries, _ := filepath.Glob(f.Path + ".*") // fails only for a malformed pattern
	for _, path := range temporaries {
		if info, err := os.Lstat(path); err == nil && now.Sub(info.ModTime()) > abandonedAfter {
			os.Remove(path)
		}
	}
}
