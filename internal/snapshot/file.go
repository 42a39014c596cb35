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

// Reasons why a snapshot cannot be used. Errors of File.Load wrap one of these.
var (
	ErrNotFound = errors.New("no snapshot found")
	// ErrCorrupt also stands for a file that exists but cannot be opened or read, for example for lack of permission.
	ErrCorrupt  = errors.New("snapshot is corrupt or unreadable")
	ErrMismatch = errors.New("snapshot was saved by another agent or under other settings")
	ErrExpired  = errors.New("snapshot is too old or from the future")
)

// maxTimeInFuture is how far in the future the save time of a snapshot may lie, as two processes read the clock at slightly different
// times. A later save time means that the wall clock has since been stepped back, and the age of the snapshot is unknown.
const maxTimeInFuture = time.Second

// File is the snapshot file of an agent.
type File struct {
	Path  string
	Agent string // name of the agent that saves it
	// Classes are the class names in the settings, by index. Load does not use knowledge that was saved under other class names, because its
	// values per class would mean something else.
	Classes []string
	Disk    Disk // nil uses the machine's file system
}

// FileIn returns the snapshot file of an agent in a directory. The file name contains a hash of the agent's name, because that name may
// contain any characters.
func FileIn(dir, agent string, classes []string) File {
	hash := fnv.New64a()
	io.WriteString(hash, agent)
	name := fmt.Sprintf("ryeweir-%016x.knowledge", hash.Sum64())
	return File{Path: filepath.Join(dir, name), Agent: agent, Classes: classes}
}

// Save replaces the file. If it fails, the old file stays. If not all endpoints fit into MaxSize, the last ones in
// knowledge.Endpoints are left out.
func (f File) Save(knowledge logic.Knowledge, now time.Time) error {
	data, err := f.encodeWithin(MaxSize, knowledge, now)
	if err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	disk := f.Disk
	if disk == nil {
		disk = localDisk{}
	}
	if err := disk.Replace(f.Path, data); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	return nil
}

// encodeWithin encodes the file in at most limit bytes. It drops endpoints from the end, a quarter at a time, until the file fits.
func (f File) encodeWithin(limit int, knowledge logic.Knowledge, now time.Time) ([]byte, error) {
	for {
		data, err := encode(document{Agent: f.Agent, Classes: f.Classes, SavedAt: now, Knowledge: toStored(knowledge)})
		switch {
		case err != nil:
			return nil, err
		case len(data) <= limit:
			return data, nil
		case len(knowledge.Endpoints) == 0:
			return nil, fmt.Errorf("%d bytes without endpoints exceed the limit of %d", len(data), limit)
		}
		knowledge.Endpoints = knowledge.Endpoints[:len(knowledge.Endpoints)*3/4]
	}
}

// Load reads the file and also returns how long ago it was saved, which is at most maxAge. Its errors wrap one of the errors of this
// package.
func (f File) Load(now time.Time, maxAge time.Duration) (knowledge logic.Knowledge, age time.Duration, err error) {
	data, err := f.read()
	if err != nil {
		return logic.Knowledge{}, 0, err
	}
	doc, err := decode(data)
	if err != nil {
		return logic.Knowledge{}, 0, fmt.Errorf("%s: %w", f.Path, err)
	}
	if doc.Agent != f.Agent || !slices.Equal(doc.Classes, f.Classes) {
		return logic.Knowledge{}, 0, fmt.Errorf("%s: %w", f.Path, ErrMismatch)
	}
	age = now.Sub(doc.SavedAt)
	if age > maxAge {
		return logic.Knowledge{}, 0, fmt.Errorf("%s: %w: saved %v ago, limit %v", f.Path, ErrExpired, age.Round(time.Millisecond), maxAge)
	}
	if age < -maxTimeInFuture {
		return logic.Knowledge{}, 0, fmt.Errorf("%s: %w: saved %v in the future, limit %v",
			f.Path, ErrExpired, -age.Round(time.Millisecond), maxTimeInFuture)
	}
	return doc.Knowledge.toKnowledge(), max(0, age), nil
}

// read returns the contents of the file, up to MaxSize+1 bytes so that decode detects a larger file. Its errors wrap ErrNotFound if
// there is no file, otherwise ErrCorrupt, also if the file cannot be opened or read.
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
