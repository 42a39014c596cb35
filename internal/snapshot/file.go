package snapshot

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ryeweir/logic"
)

// Why a snapshot can't be used. Errors of File.Load wrap one of these.
var (
	ErrNotFound = errors.New("no snapshot")
	ErrCorrupt  = errors.New("snapshot corrupt or not readable")
	ErrMismatch = errors.New("snapshot of another agent or of other settings")
	ErrExpired  = errors.New("snapshot too old")
)

// maxClockStepBack is how far in the future a snapshot may have been saved: two processes read the clock a moment apart. One saved
// later comes from before a step of the time of day, and its age is not known.
const maxClockStepBack = time.Second

// File is the snapshot of an agent.
type File struct {
	Path    string
	Agent   string   // name of the agent whose knowledge it is
	Classes []string // of its settings: figures of other classes mean something else
	Disk    Disk     // nil for the machine's file system
}

// FileIn returns the snapshot of an agent in a directory. The name of the file is derived from the agent's, which may have any
// characters.
func FileIn(dir, agent string, classes []string) File {
	hash := fnv.New64a()
	io.WriteString(hash, agent)
	name := fmt.Sprintf("ryeweir-%016x.knowledge", hash.Sum64())
	return File{Path: filepath.Join(dir, name), Agent: agent, Classes: classes}
}

// Save replaces the file, or leaves the old one if it fails. Of more endpoints than MaxSize allows only the first are saved.
func (f File) Save(knowledge logic.Knowledge, now time.Time) error {
	data, err := f.encodeWithin(MaxSize, knowledge, now)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	disk := f.Disk
	if disk == nil {
		disk = localDisk{}
	}
	if err := disk.Replace(f.Path, data); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// encodeWithin returns the bytes of the file, with as many endpoints as fit.
func (f File) encodeWithin(limit int, knowledge logic.Knowledge, now time.Time) ([]byte, error) {
	for {
		data, err := encode(document{Agent: f.Agent, Classes: f.Classes, SavedAt: now, Knowledge: toStored(knowledge)})
		switch {
		case err != nil:
			return nil, err
		case len(data) <= limit:
			return data, nil
		case len(knowledge.Endpoints) == 0:
			return nil, fmt.Errorf("%d bytes are more than %d", len(data), limit)
		}
		knowledge.Endpoints = knowledge.Endpoints[:len(knowledge.Endpoints)*3/4]
	}
}

// Load reads the file and returns how long ago it was saved, which is at most maxAge. An error wraps one of those of this
// package.
func (f File) Load(now time.Time, maxAge time.Duration) (knowledge logic.Knowledge, age time.Duration, err error) {
	data, err := f.read()
	if err != nil {
		return logic.Knowledge{}, 0, err
	}
	doc, err := decode(data)
	if err != nil {
		return logic.Knowledge{}, 0, err
	}
	if doc.Agent != f.Agent || !slices.Equal(doc.Classes, f.Classes) {
		return logic.Knowledge{}, 0, ErrMismatch
	}
	age = now.Sub(doc.SavedAt)
	if age > maxAge || age < -maxClockStepBack {
		return logic.Knowledge{}, 0, fmt.Errorf("%w: saved %v ago", ErrExpired, age.Round(time.Millisecond))
	}
	return doc.Knowledge.toKnowledge(), max(0, age), nil
}

// read returns the bytes of the file, up to one more than MaxSize.
func (f File) read() ([]byte, error) {
	file, err := os.Open(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return data, nil
}
