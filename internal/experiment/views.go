package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"

	"ryeweir/internal/emulator"
)

// Views is what the agents of a day that talk with each other saw of their peers.
type Views struct {
	Agents             int      `json:"agents"`
	Healed             []Healed `json:"healed"`                // after each fault has ended
	Whole              float64  `json:"whole_at_end"`          // share of the agents that saw all others when the day ended
	MeanBytesPerSecond float64  `json:"bytes_per_second"`      // sent by an agent, mean
	MaxBytesPerSecond  float64  `json:"bytes_per_second_most"` // by the one that sent most
	Notices            int64    `json:"notices"`               // of servers' ends that came by a peer first
	NoticeMeanMS       float64  `json:"notice_mean_ms"`        // from when the first agent was told until they came
	NoticeMaxMS        float64  `json:"notice_worst_ms"`       //
	Withheld           int64    `json:"held_back"`             // times that a server got nothing new on peers' word, before the own list's
	FactsRejected      int64    `json:"facts_refused"`         // malformed, or too many of one agent
	FactsEvicted       int64    `json:"facts_evicted"`         // as a replica was full
	Facts              int      `json:"facts_most"`            // held by an agent at once
	Copies             int      `json:"copies_most"`           // different ones of what is known of servers' ends that agents held at a look
	CopiesLast         int      `json:"copies_at_end"`         // likewise, at the last look
}

// Healed is how long the agents took to see all that are there after a fault had ended.
type Healed struct {
	Fault  string  `json:"fault"`
	At     float64 `json:"at_s"` // of the day: when it ended
	Median float64 `json:"median_s"`
	Worst  float64 `json:"worst_s"`
	Never  int     `json:"never"` // agents that did not before the next fault had ended
	Least  int     `json:"least"` // fewest peers that an agent saw in the fault and since the one before had ended
}

// peerView is what an agent told of its peers.
type peerView struct {
	at    time.Duration // of the day
	names []string
	bytes int64
	more  peerMetrics

	overload *overloadMetrics // of its budget; nil without one
}

type peerMetrics struct {
	Names    []string `json:"names"`
	Bytes    int64    `json:"bytes_sent"`
	Digest   string   `json:"digest"`
	HeldBack int64    `json:"held_back"`
	Facts    struct {
		Held    int   `json:"held"`
		Refused int64 `json:"refused"`
		Evicted int64 `json:"evicted"`
	} `json:"facts"`
	Notices struct {
		Count int64         `json:"count"`
		Sum   time.Duration `json:"sum_ns"`
		Most  time.Duration `json:"most_ns"`
	} `json:"notices"`
}

const (
	lookAtPeers = 250 * time.Millisecond
	lookFor     = 200 * time.Millisecond // at one agent: a paused one does not answer
)

// samplePeers asks each agent for its view again and again, until the context ends.
func (p *scenarioRun) samplePeers(ctx context.Context) {
	client := &http.Client{Timeout: lookFor, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	p.peerViews = make([][]peerView, len(p.agents))
	began := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	for i, a := range p.agents {
		all.Go(func() {
			tick := time.NewTicker(lookAtPeers)
			defer tick.Stop()
			for {
				if s, err := seen(ctx, client, a.Control); err == nil {
					s.at = time.Since(began)
					p.peerViews[i] = append(p.peerViews[i], s)
				}
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
}

func seen(ctx context.Context, client *http.Client, control string) (s peerView, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/v1/metrics", nil)
	if err != nil {
		return s, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	var m struct {
		Peers    *peerMetrics     `json:"peers"`
		Overload *overloadMetrics `json:"overload"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil {
		return s, err
	}
	s.overload = m.Overload
	if m.Peers != nil {
		s.names, s.bytes, s.more = m.Peers.Names, m.Peers.Bytes, *m.Peers
	}
	return s, nil
}

// ending is the end of a fault.
type ending struct {
	fault string
	at    time.Duration
}

// endings are those of the day's faults between and of agents, in order; the beginning of the day is the first.
func endings(day *emulator.Scenario) []ending {
	out := []ending{{"the start", 0}}
	for _, p := range day.Spec.Fleet.Paths {
		out = append(out, ending{p.String(), p.To.D()})
	}
	by := map[ending]int{}
	for _, t := range day.AgentFaults {
		by[ending{t.Kind, t.At + t.Duration}]++
	}
	for e, n := range by {
		out = append(out, ending{fmt.Sprintf("%s of %d", e.fault, n), e.at})
	}
	slices.SortFunc(out, func(a, b ending) int { return int(a.at - b.at) })
	return out
}

// views sums up what the agents saw. All agents are there after each ending, but for those that a later fault has away: the
// time until the next fault's beginning counts.
func views(day *emulator.Scenario, sights [][]peerView) *Views {
	v := &Views{Agents: len(day.Agents)}
	all := len(day.Agents) + len(day.Spec.Fleet.ByzantinePeers)
	whole := func(s peerView) bool { return len(s.names) == all-1 }
	ends := endings(day)
	for i, e := range ends {
		limit := day.Length
		if i+1 < len(ends) {
			limit = ends[i+1].at
		}
		h := Healed{Fault: e.fault, At: e.at.Seconds(), Least: all - 1}
		since := time.Duration(0)
		if i > 0 {
			since = ends[i-1].at
		}
		var took []float64
		for _, each := range sights {
			for _, s := range each {
				if s.at >= since && s.at < e.at {
					h.Least = min(h.Least, len(s.names))
				}
			}
			k := slices.IndexFunc(each, func(s peerView) bool { return s.at >= e.at && s.at < limit && whole(s) })
			if k < 0 {
				h.Never++
				continue
			}
			took = append(took, (each[k].at - e.at).Seconds())
		}
		if len(took) > 0 {
			slices.Sort(took)
			h.Median, h.Worst = took[len(took)/2], took[len(took)-1]
		}
		v.Healed = append(v.Healed, h)
	}
	var sum time.Duration
	for _, each := range sights {
		if len(each) < 2 {
			continue
		}
		last := each[len(each)-1]
		if whole(last) {
			v.Whole += 1 / float64(len(day.Agents))
		}
		var bytes, span float64
		for k := 1; k < len(each); k++ {
			if d := each[k].bytes - each[k-1].bytes; d >= 0 { // else another process began in between
				bytes, span = bytes+float64(d), span+(each[k].at-each[k-1].at).Seconds()
			}
		}
		v.MeanBytesPerSecond += bytes / span / float64(len(day.Agents))
		v.MaxBytesPerSecond = max(v.MaxBytesPerSecond, bytes/span)
		v.Notices += last.more.Notices.Count
		sum += last.more.Notices.Sum
		v.NoticeMaxMS = max(v.NoticeMaxMS, float64(last.more.Notices.Most.Microseconds())/1e3)
		v.Withheld += last.more.HeldBack
		v.FactsRejected, v.FactsEvicted = v.FactsRejected+last.more.Facts.Refused, v.FactsEvicted+last.more.Facts.Evicted
		for _, s := range each {
			v.Facts = max(v.Facts, s.more.Facts.Held)
		}
	}
	v.Copies, v.CopiesLast = copies(sights)
	if v.Notices > 0 {
		v.NoticeMeanMS = float64(sum.Microseconds()) / 1e3 / float64(v.Notices)
	}
	return v
}

// copies is how many different copies of what is known of servers' ends the agents held, at the look with the most of them and at the
// last that all took.
func copies(sights [][]peerView) (most, last int) {
	looks := map[int]map[string]int{}
	for _, each := range sights {
		for _, s := range each {
			n := int(s.at / lookAtPeers)
			if looks[n] == nil {
				looks[n] = map[string]int{}
			}
			looks[n][s.more.Digest]++
		}
	}
	at := -1
	for n, by := range looks {
		most = max(most, len(by))
		told := 0
		for _, k := range by {
			told += k
		}
		if told >= len(sights) && n > at {
			at, last = n, len(by)
		}
	}
	return most, last
}

// talkPlots are bytes a second of an agent, and how long the last agent took to see all others after a fault, against the number
// of agents; none where fewer than two numbers were played.
func talkPlots(outcomes []Outcome) []named {
	bytes, heals := newPlot("bytes a second that an agent sent its peers", "bytes a second"), newPlot("after a fault: until all see all others", "seconds")
	sent, last, median := map[float64][]float64{}, map[float64][]float64{}, map[float64][]float64{}
	for _, o := range outcomes {
		if o.Views == nil || o.Interrupted {
			continue
		}
		n := float64(o.Views.Agents)
		sent[n] = append(sent[n], o.Views.MeanBytesPerSecond)
		for _, h := range o.Views.Healed[1:] {
			last[n], median[n] = append(last[n], h.Worst), append(median[n], h.Median)
		}
	}
	if len(sent) < 2 {
		return nil
	}
	addMeans(bytes, "mean of all agents", palette()[0], sent)
	addMeans(heals, "median agent", palette()[0], median)
	addMeans(heals, "last agent", palette()[1], last)
	for _, p := range []*plot.Plot{bytes, heals} {
		p.X.Label.Text, p.Y.Min = "agents", 0
		p.X.Max *= legendRoom
	}
	return []named{{"peers-bytes", bytes}, {"peers-heals", heals}}
}
