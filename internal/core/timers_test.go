package core

import (
	"container/heap"
	"testing"
	"time"

	"ryeweir/logic"
)

func TestTimersAreOrderedByDueTime(t *testing.T) {
	c := &Core{clock: NewClock()}
	for _, delay := range []time.Duration{5 * time.Second, time.Second, 3 * time.Second} {
		c.execute([]logic.Action{{Kind: logic.SetTimer, Delay: delay, Token: uint64(delay / time.Second)}})
	}
	for _, want := range []uint64{1, 3, 5} {
		if got := heap.Pop(&c.timers).(timer); got.token != want {
			t.Errorf("next timer is %d, want %d", got.token, want)
		}
	}
}
