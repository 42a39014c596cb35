package node

import (
	"math"
	"time"
)

// recentKeys are the routing keys whose data a node has cached: a request for one of them costs less. At most Affinity.MaxKeys
// are remembered; beyond it the key that was used longest ago is evicted.
type recentKeys struct {
	affinity Affinity
	usedAt   map[string]time.Duration
}

func newRecentKeys(affinity Affinity) recentKeys {
	return recentKeys{affinity, map[string]time.Duration{}}
}

// recent reports whether a key is cached.
func (k *recentKeys) recent(key string, now time.Duration) bool {
	at, ok := k.usedAt[key]
	return ok && key != "" && now-at < k.affinity.TTL
}

// remember notes that a key was used. Equal times are evicted in the order of the keys, so that runs can be repeated.
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
