// Package snapshot keeps what an agent has learnt in a file, so that the process that comes after it does not start blind. A
// file that is too old, of another agent or not whole is as good as none: it only ever helps.
package snapshot

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"ryeweir/logic"
)

// MaxSize is the most bytes that a file may hold: some thousands of servers.
const MaxSize = 1 << 20

// The form of a file: the magic, the CRC-32C of what follows, then a document in JSON.
const (
	magic  = "RYWK\x01\n"
	header = len(magic) + 4
)

// File is where an agent's knowledge is kept.
type File struct {
	Path    string
	Agent   string   // whose it is
	Classes []string // of its settings: another set would mean other figures
	Disk    Disk     // nil for the machine's
}

// Disk is where files are kept.
type Disk interface {
	// Replace puts data in the place of what the file holds, all of it or nothing.
	Replace(path string, data []byte) error
}

// machineDisk is the machine's.
type machineDisk struct{}

// Replace implements Disk.
func (machineDisk) Replace(path string, data []byte) error {
	part, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*") // two processes may write at a time
	if err != nil {
		return err
	}
	defer os.Remove(part.Name()) // which is in vain once it has its name
	_, err = part.Write(data)
	if err = errors.Join(err, part.Close()); err != nil {
		return err
	}
	return os.Rename(part.Name(), path)
}

// FileIn is the file of an agent in a folder.
func FileIn(dir, agent string, classes []string) File {
	h := fnv.New64a()
	io.WriteString(h, agent)
	return File{Path: filepath.Join(dir, fmt.Sprintf("ryeweir-%016x.knowledge", h.Sum64())), Agent: agent, Classes: classes}
}

// Why a file is of no use.
var (
	ErrNotFound = errors.New("there is no snapshot")
	ErrCorrupt  = errors.New("the snapshot is spoilt")
	ErrMismatch = errors.New("the snapshot is another agent's, or of other settings")
	ErrExpired  = errors.New("the snapshot is too old")
)

// Save replaces the file whole, or leaves the one that is there. Of a fleet that is too large for the bound it keeps a part.
func (f File) Save(k logic.Knowledge, now time.Time) error {
	var text []byte
	for {
		var err error
		if text, err = json.Marshal(document{Agent: f.Agent, Classes: f.Classes, Taken: now, Knowledge: toStored(k)}); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if header+len(text) <= MaxSize {
			break
		}
		if len(k.Endpoints) == 0 {
			return fmt.Errorf("snapshot: %d bytes are more than %d", header+len(text), MaxSize)
		}
		k.Endpoints = k.Endpoints[:len(k.Endpoints)*3/4]
	}
	data := binary.BigEndian.AppendUint32([]byte(magic), crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli)))
	data = append(data, text...)
	disk := f.Disk
	if disk == nil {
		disk = machineDisk{}
	}
	if err := disk.Replace(f.Path, data); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// halfWritten is the age from which a file that has not got its name never will: its process was killed as it wrote.
const halfWritten = time.Minute

// tidy removes what processes left that were killed as they wrote.
func (f File) tidy(now time.Time) {
	parts, _ := filepath.Glob(f.Path + ".*") // a pattern that is in order never fails
	for _, part := range parts {
		if info, err := os.Lstat(part); err == nil && now.Sub(info.ModTime()) > halfWritten {
			os.Remove(part)
		}
	}
}

// Load reads the file, and how long ago it was written: at most so long. The error wraps one of the reasons above.
func (f File) Load(now time.Time, oldest time.Duration) (logic.Knowledge, time.Duration, error) {
	var none logic.Knowledge
	in, err := os.Open(f.Path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return none, 0, ErrNotFound
	case err != nil:
		return none, 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, MaxSize+1))
	if err != nil {
		return none, 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	doc, err := decode(data)
	if err != nil {
		return none, 0, err
	}
	if doc.Agent != f.Agent || fmt.Sprint(doc.Classes) != fmt.Sprint(f.Classes) {
		return none, 0, ErrMismatch
	}
	ago := now.Sub(doc.Taken)
	if ago > oldest || ago < -time.Second { // one from the future comes from a clock that has stepped
		return none, 0, fmt.Errorf("%w: written %v ago", ErrExpired, ago.Round(time.Millisecond))
	}
	return doc.Knowledge.toKnowledge(), max(0, ago), nil
}

// decode reads a file's bytes.
func decode(data []byte) (doc document, err error) {
	switch {
	case len(data) > MaxSize:
		return doc, fmt.Errorf("%w: over %d bytes", ErrCorrupt, MaxSize)
	case len(data) < header || string(data[:len(magic)]) != magic:
		return doc, fmt.Errorf("%w: no snapshot of this version", ErrCorrupt)
	case binary.BigEndian.Uint32(data[len(magic):]) != crc32.Checksum(data[header:], crc32.MakeTable(crc32.Castagnoli)):
		return doc, fmt.Errorf("%w: the checksum differs", ErrCorrupt)
	}
	if err := json.Unmarshal(data[header:], &doc); err != nil {
		return doc, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return doc, nil
}

// Persist writes what is known at intervals and once more when the context ends, as long as there is something new. Know returns
// what is known, and false when nothing has changed since it was last asked or nobody can tell any more.
func Persist(ctx context.Context, f File, every time.Duration, timeOfDay func() time.Time, know func() (logic.Knowledge, bool), log *slog.Logger) {
	f.tidy(timeOfDay())
	t := time.NewTicker(every)
	defer t.Stop()
	failed := false
	for ended := false; !ended; {
		select {
		case <-t.C:
		case <-ctx.Done():
			ended = true
		}
		k, ok := know()
		if !ok {
			continue
		}
		switch err := f.Save(k, timeOfDay()); {
		case err != nil && !failed:
			failed = true
			log.Warn("what has been learnt is not kept; further failures are not logged", "error", err)
		case err == nil && failed:
			failed = false
			log.Info("what has been learnt is kept again")
		}
	}
}
