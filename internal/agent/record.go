package agent

import (
	"os"
	"time"

	"ryeweir/internal/requestrecord"
	"ryeweir/logic"
)

// minRetention is the shortest time for which a request that may have been executed is remembered: a client that has left may come back that
// long after its deadline.
const minRetention = 5 * time.Second

// openRecord opens the record of requests that may have been executed. On an inherited listener another process may accept the same request, and
// both share the record in their folder; if that fails, each has its own.
func (a *agent) openRecord() *requestrecord.Record {
	retention := retentionFor(a.config.Site.Logic.Classes)
	if a.env.Inherited {
		record, err := requestrecord.Open(os.TempDir(), retention)
		if err == nil {
			return record
		}
		a.log.Error("requests of the other process of an upgrade can't be seen", "error", err)
	}
	return requestrecord.New(retention)
}

// retentionFor returns how long requests are remembered: the longest deadline and the longest window of the classes that restrict repeats.
func retentionFor(classes []logic.Class) time.Duration {
	retention := minRetention
	for _, class := range classes {
		if class.Idempotency != logic.Idempotent {
			retention = max(retention, class.Timeout+class.IdempotencyWindow)
		}
	}
	return retention
}
