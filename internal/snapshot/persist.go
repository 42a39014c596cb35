package snapshot

import (
	"context"
	"log/slog"
	"time"

	"ryeweir/logic"
)

// Persist saves the agent's knowledge at intervals, and once more when the context is done. The function knowledge returns false if nothing
// has changed since the previous call; nothing is saved then. After a failed save the next interval saves again if there are new changes.
// Only the first of consecutive failures is logged.
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
