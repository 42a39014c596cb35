package requestrecord

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// File format: the magic number, the key and the slots, as words in the machine's byte order. Only processes of one machine share it.
const (
	fileName    = "ryeweir-requests.table"
	magic       = 0x72796577_72657131
	headerWords = 1 + keyBytes/wordBytes
	wordBytes   = 8
	fileBytes   = (headerWords + slotCount*slotWords) * wordBytes
)

// New returns a record of this process alone.
func New(retention time.Duration) *Record {
	began := time.Now()
	r := &Record{words: make([]uint64, slotCount*slotWords), retention: retention, close: func() error { return nil }}
	// The time begins after the retention, so that a slot that was never used has expired.
	r.now = func() time.Duration { return time.Since(began) + retention + time.Second }
	rand.Read(r.key[:])
	return r
}

// Open returns the record that the processes with this folder share. It creates the file if there is none, or an incomplete one.
func Open(dir string, retention time.Duration) (*Record, error) {
	file, err := os.OpenFile(filepath.Join(dir, fileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the record of requests: %w", err)
	}
	defer file.Close()
	memory, err := mapFile(file)
	if err != nil {
		return nil, fmt.Errorf("mapping the record of requests %s: %w", file.Name(), err)
	}
	words := unsafe.Slice((*uint64)(unsafe.Pointer(&memory[0])), fileBytes/wordBytes)
	r := &Record{words: words[headerWords:], retention: retention, now: sinceBoot, close: func() error { return unix.Munmap(memory) }}
	for i := range keyBytes / wordBytes {
		binary.NativeEndian.PutUint64(r.key[i*wordBytes:], words[1+i])
	}
	return r, nil
}

// mapFile maps the file into memory, with the other processes kept out while it is created. The space is allocated before it is mapped, as a write
// to a mapped page without space would end the process.
func mapFile(file *os.File) ([]byte, error) {
	descriptor := int(file.Fd())
	if err := unix.Flock(descriptor, unix.LOCK_EX); err != nil {
		return nil, fmt.Errorf("locking it: %w", err)
	}
	defer unix.Flock(descriptor, unix.LOCK_UN)
	header := make([]byte, headerWords*wordBytes)
	_, err := file.ReadAt(header, 0)
	complete := err == nil && binary.NativeEndian.Uint64(header) == magic
	if !complete {
		if err := create(file, header); err != nil {
			return nil, err
		}
	}
	return unix.Mmap(descriptor, 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
}

// create writes an empty table. The header comes last, so that a file without its end is never taken for a complete one.
func create(file *os.File, header []byte) error {
	if err := file.Truncate(0); err != nil {
		return err
	}
	if _, err := file.WriteAt(make([]byte, fileBytes-len(header)), int64(len(header))); err != nil {
		return errors.Join(err, file.Truncate(0))
	}
	rand.Read(header)
	binary.NativeEndian.PutUint64(header, magic)
	_, err := file.WriteAt(header, 0)
	return err
}

// sinceBoot returns the time of the machine's monotonic clock, which all its processes share.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// atomicWord returns a word of the table for atomic operations.
func atomicWord(word *uint64) *atomic.Uint64 { return (*atomic.Uint64)(unsafe.Pointer(word)) }
