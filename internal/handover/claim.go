package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// claimFile is the name of the file whose lock the serving process of an agent holds.
const claimFile = "ryeweir-agent.lock"

// claimInterval is the time between two attempts to take the claim of a process that is about to end.
const claimInterval = 50 * time.Millisecond

// ErrClaimed means that another process of the agent holds the claim.
var ErrClaimed = errors.New("another process of the agent holds the claim")

// Claim is the lock by which the processes of an agent that share a folder know whether another one is there. The process that holds it may
// take the larger part of what they share. The kernel releases the lock when the process ends, however it ends.
type Claim struct{ file *os.File }

// TryClaim takes the claim in a folder. It fails with ErrClaimed if another process holds it.
func TryClaim(dir string) (*Claim, error) {
	file, err := os.OpenFile(filepath.Join(dir, claimFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the claim file: %w", err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrClaimed
		}
		return nil, fmt.Errorf("locking the claim file: %w", err)
	}
	return &Claim{file: file}, nil
}

// AwaitClaim takes the claim as soon as no other process holds it. It returns nil if ctx ends first.
func AwaitClaim(ctx context.Context, dir string) *Claim {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		if claim, err := TryClaim(dir); err == nil {
			return claim
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Release gives the claim back. A nil Claim has nothing to give back.
func (c *Claim) Release() {
	if c != nil {
		c.file.Close()
	}
}
