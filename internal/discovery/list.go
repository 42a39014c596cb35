package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/logic"
)

// The list of servers: its form, and what becomes of the entries.

// EndpointList is a list of servers or a change of it, in discovery's form.
type EndpointList struct {
	Version   int64             `json:"version"`
	Full      bool              `json:"full"`
	Endpoints []json.RawMessage `json:"servers"`
}

// entry is a backend of the list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var states = map[string]logic.EndpointState{"Ready": logic.Ready, "Terminating": logic.Draining, "Gone": logic.Removed}

// ParseEndpointList reads a list.
func ParseEndpointList(data []byte) (l EndpointList, err error) {
	err = json.Unmarshal(data, &l)
	return l, err
}

// take applies a list that is not older than what is held.
func (d *Client) take(l EndpointList, whole bool) error {
	if whole && !l.Full {
		return errors.New("discovery answered a call for the whole list with changes")
	}
	if l.Version < d.version && !whole {
		before := d.version
		d.version = -1 // it counts anew: only the whole list tells what holds
		return fmt.Errorf("discovery went back from version %d to %d", before, l.Version)
	}
	d.fails = 0
	if d.down {
		d.down = false
		d.log.Info("discovery is back", "version", l.Version)
		if l.Version == d.version && !l.Full {
			d.sink.UpdateEndpoints(core.EndpointList{}) // the list stands, and the module must know that it is followed again
		}
	}
	if l.Version < d.version || l.Version == d.version && !l.Full {
		d.heard = d.clock.Now()
		return nil // what is held is newer
	}
	members := d.members(l)
	d.version, d.heard = l.Version, d.clock.Now()
	applied := event.Event{Kind: event.EndpointsUpdated}
	if d.events.Verbose() {
		applied.Detail = fmt.Sprintf("version %d, full %v: %s", l.Version, l.Full, summary(members))
	}
	d.events.Record(applied)
	d.log.Info("list of backends", "version", l.Version, "full", l.Full, "entries", len(l.Endpoints))
	d.sink.UpdateEndpoints(core.EndpointList{Full: l.Full, Endpoints: members})
	return nil
}

// summary names the servers of a list that are not ready, and counts the others.
func summary(members []core.Endpoint) string {
	ready := 0
	var b strings.Builder
	for _, m := range members {
		switch m.State {
		case logic.Ready:
			ready++
		case logic.Draining:
			b.WriteString(" draining " + m.ID)
		case logic.Removed:
			b.WriteString(" gone " + m.ID)
		}
	}
	return strconv.Itoa(ready) + " ready" + b.String()
}

// members decodes the entries. A malformed one is passed over, which must not look as if its backend had been
// taken from the list: what was held of it stands.
func (d *Client) members(l EndpointList) []core.Endpoint {
	out := make([]core.Endpoint, 0, len(l.Endpoints))
	for _, raw := range l.Endpoints {
		m, id, err := d.member(raw)
		if err != nil {
			if !d.badOnce {
				d.badOnce = true
				d.log.Warn("passing over a malformed list entry; further ones are not logged", "entry", id, "error", err)
			}
			if old, ok := d.have[id]; ok {
				out = append(out, old)
			}
			continue
		}
		out = append(out, m)
	}
	if l.Full {
		clear(d.have)
	}
	for _, m := range out {
		d.have[m.ID] = m
		if m.State == logic.Removed {
			delete(d.have, m.ID)
		}
	}
	return out
}

// member decodes an entry. It returns the entry's id also with an error, as far as that could be read.
func (d *Client) member(raw json.RawMessage) (m core.Endpoint, id string, err error) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return m, e.ID, err
	}
	state, ok := states[e.State]
	if e.ID == "" || !ok {
		return m, e.ID, fmt.Errorf("id %q with state %q", e.ID, e.State)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && state != logic.Removed {
		return m, e.ID, err
	}
	server := logic.Endpoint{ID: e.ID, State: state, Zone: slices.Index(d.zones, e.Zone), Cell: e.Cell, Weight: e.Weight, StartedAt: d.started(e)}
	return core.Endpoint{Addr: e.Addr, Endpoint: server, StartedUnixMilli: e.StartedMS}, e.ID, nil
}

// lateListing is how long before discovery was last heard without it a server may have started that is new in the list. Where a
// discovery is slower than that, the server is in slow start for a little longer.
const lateListing = 2 * time.Second

// started is when a server started, on the agent's clock. What was once said of a start stands, whatever becomes of the time of
// day. A new one is not in the future, and where discovery was heard not long before without it, not long before that: then the
// time of day has been stepped in between.
func (d *Client) started(e entry) time.Duration {
	if old, known := d.have[e.ID]; known && old.StartedUnixMilli == e.StartedMS {
		return old.StartedAt
	}
	if e.StartedMS == 0 {
		return 0
	}
	at := min(d.clock.FromUnix(e.StartedMS), d.clock.Now())
	if d.heard > 0 {
		at = max(at, d.heard-lateListing)
	}
	return at
}
