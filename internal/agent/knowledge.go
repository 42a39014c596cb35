package agent

import (
	"errors"
	"os"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/snapshot"
)

// snapshotFile returns the file in which the agent saves what it has learned, and whether saving is enabled. If the operators' file
// names no directory, the file is in TMPDIR, which the platform gives to both processes of a handover.
func snapshotFile(cfg platform.Config, settings operator.Snapshot) (file snapshot.File, enabled bool) {
	dir := settings.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	enabled = settings.Interval > 0 && dir != "" && cfg.Name != ""
	return snapshot.FileIn(dir, cfg.Name, classNames(cfg)), enabled
}

// restoreKnowledge restores the decision module from the snapshot, if there is a valid one. Otherwise the agent starts with
// nothing learned: a snapshot saves it from learning again and is never required.
func (a *agent) restoreKnowledge() {
	knowledge, age, err := a.snapshots.Load(a.env.TimeOfDay(), a.operators.Snapshot.MaxAge.D())
	switch {
	case errors.Is(err, snapshot.ErrNotFound):
	case err != nil:
		a.log.Info("snapshot not restored", "reason", err)
	default:
		a.balancer.Restore(a.clock.Now(), knowledge, age)
		a.log.Info("snapshot restored", "servers", len(knowledge.Endpoints), "ago", age.Round(time.Millisecond))
	}
}
