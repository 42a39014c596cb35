package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

// Disk stores files. Tests replace it to make writes fail.
type Disk interface {
	// Replace atomically replaces the contents of a file with data.
	Replace(path string, data []byte) error
}

// localDisk is the file system of the machine.
type localDisk struct{}

// Replace writes a temporary file in the same directory and renames it to path. The temporary name is unique because two processes may
// write at the same time during a handover. The file is not synced: a crash of the machine may lose or damage the snapshot, and its
// checksum detects damage.
func (localDisk) Replace(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // fails harmlessly after a successful rename
	_, err = temporary.Write(data)
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}

// abandonedAfter is the age above which no process can still be writing a temporary file.
const abandonedAfter = time.Minute

// removeAbandoned removes temporary files left by processes that were killed during a write.
func (f File) removeAbandoned(now time.Time) {
	temporaries, _ := filepath.Glob(f.Path + ".*") // the only error is a malformed pattern
	for _, path := range temporaries {
		if info, err := os.Lstat(path); err == nil && now.Sub(info.ModTime()) > abandonedAfter {
			os.Remove(path)
		}
	}
}
