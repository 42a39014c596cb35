package httpmsg

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelClient is a client that writes a body through kernels that hold clientBufferBytes, and an agent that reads it.
type modelClient struct {
	length, written, read int64
	now, finishedAt       time.Time // finishedAt is the zero time until the last byte is written
}

// write writes up to n bytes, as far as the kernels take them.
func (m *modelClient) write(n int64) {
	m.written += min(n, m.length-m.written, m.read+clientBufferBytes-m.written)
	if m.written == m.length && m.finishedAt.IsZero() {
		m.finishedAt = m.now
	}
}

// Whatever the order of writes, reads and pauses, an upload must never be taken for unfinished after its client has written the last byte, or its
// answer would come late. It must be taken for unfinished while the agent waits for the client, or a slow client would be ended early.
func TestUnfinishedAtNeverPassesTheLastByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		m := &modelClient{length: rapid.Int64Range(1, 16).Draw(t, "length in MiB") << 20, now: start}
		u := &Upload{Length: m.length, ArrivedAt: start}
		if rapid.Bool().Draw(t, "length unknown") {
			u.Length = -1
		}
		size := rapid.SampledFrom([]int64{1, 64 << 10, 1 << 20, 3 << 20, clientBufferBytes})
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"write", "write all", "read", "read", "pause"}).Draw(t, "event") {
			case "write":
				m.write(size.Draw(t, "bytes written"))
			case "write all":
				m.write(m.length)
			case "pause":
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "pause"))
			case "read":
				var waited time.Duration
				if m.read == m.written && m.read < m.length {
					waited = time.Duration(rapid.Int64Range(int64(emptyWait), int64(time.Second)).Draw(t, "wait"))
					m.now = m.now.Add(waited)
					m.write(size.Draw(t, "bytes written to a waiting agent"))
				}
				n := min(m.written-m.read, size.Draw(t, "bytes read"))
				m.read += n
				u.noteRead(int(n), m.now, waited)
				if waited > 0 && !u.UnfinishedAt(m.now).Equal(m.now) {
					t.Fatalf("the agent waited until now, and the client is taken for finished %v ago", m.now.Sub(u.UnfinishedAt(m.now)))
				}
			}
			if at := u.UnfinishedAt(m.now); !m.finishedAt.IsZero() && at.After(m.finishedAt) {
				t.Fatalf("taken for unfinished %v after the last byte; %d of %d bytes read", at.Sub(m.finishedAt), m.read, m.length)
			}
		}
	})
}

// Without a length an upload that is read fast must be taken for unfinished by what has been read since: more than the kernels can hold.
func TestLongUploadWithoutALengthIsUnfinishedByWhatIsRead(t *testing.T) {
	start := time.Now()
	u := &Upload{Length: -1, ArrivedAt: start}
	for i := range 12 {
		at := start.Add(time.Duration(i) * time.Second)
		u.noteRead(clientBufferBytes/2, at, 0)
		if lag := at.Sub(u.UnfinishedAt(at)); lag > 4*time.Second {
			t.Errorf("after %d MiB the client is known to be unfinished only until %v ago", u.received.Load()>>20, lag)
		}
	}
}
