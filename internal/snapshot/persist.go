package snapshot

import (
	"context"
	"log/slog"
	"time"

	"ryeweir/logic"
)

// Persist saves what the agent knows at intervals, and once more when the context ends. The function knowledge returns false if
// nothing has changed since it was last called; nothing is saved then. A save that fails is logged, and tried again with the
// next; further failures are not logged until one succeeds.
func Persist(ctx context.Context, f File, interval time.Duration, timeOfDay func() time.Time, knowledge func() (logic.Knowledge, bool), log *slog.Logger) {
	f.removeAbandoned(timeOfDay())
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for ended := false; !ended; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ended = true
		}
		current, changed := knowledge()
		if !changed {
			continue
		}
		err := f.Save(current, timeOfDay())
		switch {
		case err != nil && !failing:
			log.Warn("snapshot not saved; further failures are not logged", "error", err)
		case err == nil && failing:
			log.Info("snapshot saved again")
		}
		failing = err != nil
	}
}
