package agent

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/core"
	"ryeweir/internal/snapshot"
	"ryeweir/logic"
)

// learnt is the file in which what the agent has learnt is kept; false where it is not. Without a folder of its own it goes to
// the one for temporary files that the platform gives to both processes of a handover, and nowhere where there is none.
func learnt(cfg platform.Config, set operator.Snapshot) (snapshot.File, bool) {
	dir := set.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	var classes []string
	for _, c := range cfg.Site.Logic.Classes {
		classes = append(classes, c.Name)
	}
	return snapshot.FileIn(dir, cfg.Name, classes), set.Interval > 0 && dir != "" && cfg.Name != ""
}

// recall starts from what the process before this one had learnt, if that is of use.
func recall(b *logic.Balancer, f snapshot.File, set operator.Snapshot, clock core.Clock, now time.Time, log *slog.Logger) {
	k, ago, err := f.Load(now, set.MaxAge.D())
	switch {
	case errors.Is(err, snapshot.ErrNotFound):
	case err != nil:
		log.Info("starting without what was learnt before", "reason", err)
	default:
		b.Restore(clock.Now(), k, ago)
		log.Info("starting with what was learnt before", "servers", len(k.Endpoints), "ago", ago.Round(time.Millisecond))
	}
}
