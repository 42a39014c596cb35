package httpmsg

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelClient is a client that writes a body through kernels that hold clientBufferBytes, and an agent that reads it. Behind a pause of the agent what the
// client has written may take up to deliveryTime to arrive: the agent's receive buffer was full.
type modelClient struct {
	length, written, read int64
	now, finishedAt       time.Time     // finishedAt is the zero time until the last byte is written
	deliveryLeft          time.Duration // for which written bytes may still be under way
	sincePause            deliveries
}

// write writes up to n bytes, as far as the kernels take them.
func (m *modelClient) write(n int64) {
	m.written += min(n, m.length-m.written, m.read+clientBufferBytes-m.written)
	if m.written == m.length && m.finishedAt.IsZero() {
		m.finishedAt = m.now
	}
}

// pause lets time pass in which the agent does not read.
func (m *modelClient) pause(d time.Duration) {
	m.now = m.now.Add(d)
	m.deliveryLeft, m.sincePause = deliveryTime-1, deliveries{}
}

// readWaits lets a read wait for some time.
func (m *modelClient) readWaits(d time.Duration) {
	m.now = m.now.Add(d)
	m.sincePause.waited += d
}

// Guards against an answer that comes seconds after its time: bytes that the client had written long before came a few milliseconds after the agent read
// on, as its receive buffer had been full, and each such wait was taken for one for the client.
//
// Whatever the order of writes, reads and pauses, an upload must never be taken for unfinished after its client has written the last byte, or only for as
// long as that byte may take to arrive. It must be taken for unfinished while the agent waits for the client, or a slow client would be ended early.
func TestUnfinishedAtNeverPassesTheLastByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		m := &modelClient{length: rapid.Int64Range(1, 16).Draw(t, "length in MiB") << 20, now: start}
		m.pause(0)
		u := &Upload{Length: m.length, ArrivedAt: start}
		if rapid.Bool().Draw(t, "length unknown") {
			u.Length = -1
		}
		size := rapid.SampledFrom([]int64{1, 64 << 10, 1 << 20, 3 << 20, clientBufferBytes})
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"write", "write all", "read", "read", "read", "pause"}).Draw(t, "event") {
			case "write":
				m.write(size.Draw(t, "bytes written"))
			case "write all":
				m.write(m.length)
			case "pause":
				m.pause(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "pause"))
			case "read":
				u.progress.beginRead(m.now)
				waitedFrom := m.now
				if m.read == m.written && m.read < m.length {
					m.readWaits(time.Duration(rapid.Int64Range(int64(emptyWait), int64(time.Second)).Draw(t, "wait")))
					m.write(size.Draw(t, "bytes written to a waiting agent"))
				} else if rapid.Bool().Draw(t, "the bytes are still under way") {
					delivery := time.Duration(rapid.Int64Range(0, int64(m.deliveryLeft)).Draw(t, "delivery"))
					m.deliveryLeft -= delivery
					m.readWaits(delivery)
				}
				waitsForClient := m.finishedAt.IsZero() || m.finishedAt.Equal(m.now)
				if at := u.UnfinishedAt(m.now); waitsForClient && m.sincePause.delivered() && m.now.Sub(waitedFrom) >= emptyWait && !at.Equal(m.now) {
					t.Fatalf("the agent waits, and the client is taken for finished %v ago", m.now.Sub(at))
				}
				n := min(m.written-m.read, size.Draw(t, "bytes read"))
				m.read += n
				m.sincePause.bytes += n
				u.noteRead(int(n), m.now)
			}
			if at := u.UnfinishedAt(m.now); !m.finishedAt.IsZero() && at.After(m.finishedAt.Add(deliveryTime)) {
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
		u.progress.beginRead(at)
		u.noteRead(clientBufferBytes/2, at)
		if lag := at.Sub(u.UnfinishedAt(at)); lag > 4*time.Second {
			t.Errorf("after %d MiB the client is known to be unfinished only until %v ago", u.received.Load()>>20, lag)
		}
	}
}
