package node

import (
	"math"
	"time"
)

// recentKeys holds the routing keys whose data a node has cached. A request with a cached key costs less. At most
// Affinity.MaxKeys are cached; beyond that the least recently used one is evicted.
type recentKeys struct {
	affinity Affinity
	usedAt   map[string]time.Duration
}

func newRecentKeys(affinity Affinity) recentKeys {
	return recentKeys{affinity, map[string]time.Duration{}}
}

// recent reports whether a key is cached and was used within Affinity.TTL.
func (k *recentKeys) recent(key string, now time.Duration) bool {
	at, ok := k.usedAt[key]
	return ok && key != "" && now-at < k.affinity.TTL
}

// remember records that a key was used. Keys last used at the same time are evicted in alphabetical order, so that equal seeds
// give equal runs.
func (k *recentKeys) remember(key string, now time.Duration) {
	if key == "" || k.affinity.MaxKeys == 0 {
		return
	}
	k.usedAt[key] = now
	if len(k.usedAt) <= k.affinity.MaxKeys {
		return
	}
	oldest, oldestAt := "", time.Duration(math.MaxInt64)
	for key, at := range k.usedAt {
		if at < oldestAt || at == oldestAt && key < oldest {
			oldest, oldestAt = key, at
		}
	}
	delete(k.usedAt, oldest)
}
