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

// PeerSummary sums up what agents that gossip saw of their peers in a day.
type PeerSummary struct {
	Agents             int        `json:"agents"`
	Recoveries         []Recovery `json:"healed"`                // after each fault has ended
	AllSeenAtEnd       float64    `json:"whole_at_end"`          // share of the agents that saw all others when the day ended
	MeanBytesPerSecond float64    `json:"bytes_per_second"`      // sent by an agent, mean
	MaxBytesPerSecond  float64    `json:"bytes_per_second_most"` // by the one that sent most
	Notices            int64      `json:"notices"`               // of servers' ends that came by a peer first
	NoticeMeanMS       float64    `json:"notice_mean_ms"`        // from the notification of the first agent until they arrived
	NoticeMaxMS        float64    `json:"notice_worst_ms"`       //
	Withheld           int64      `json:"held_back"`             // times that an agent sent a server nothing new on a peer's notice, before its own list said so
	FactsRejected      int64      `json:"facts_refused"`         // malformed, or too many of one agent
	FactsEvicted       int64      `json:"facts_evicted"`         // as a replica was full
	MaxFacts           int        `json:"facts_most"`            // held by an agent at once
	MaxReplicaStates   int        `json:"copies_most"`           // most different states of the facts on servers' ends that agents held in one sample
	ReplicaStatesAtEnd int        `json:"copies_at_end"`         // likewise, in the last sample of all agents
}

// Recovery is how long the agents took to see all others after a fault had ended, in seconds.
type Recovery struct {
	Fault          string  `json:"fault"`
	At             float64 `json:"at_s"` // of the day: when it ended
	Median         float64 `json:"median_s"`
	Worst          float64 `json:"worst_s"`
	NeverRecovered int     `json:"never"` // agents that did not before the next fault had ended
	MinPeersSeen   int     `json:"least"` // fewest peers that an agent saw in the fault and since the one before had ended
}

// peerView is a sample of what an agent sees of its peers.
type peerView struct {
	at        time.Duration // of the day
	names     []string
	bytesSent int64
	metrics   peerMetrics

	overload *overloadMetrics // of its budget; nil without one
}

type peerMetrics struct {
	Names    []string `json:"names"`
	Bytes    int64    `json:"bytes_sent"`
	Digest   string   `json:"digest"`
	HeldBack int64    `json:"held_back"`
	Facts    struct {
		Held     int   `json:"held"`
		Rejected int64 `json:"refused"`
		Evicted  int64 `json:"evicted"`
	} `json:"facts"`
	Notices struct {
		Count int64         `json:"count"`
		Sum   time.Duration `json:"sum_ns"`
		Most  time.Duration `json:"most_ns"`
	} `json:"notices"`
}

const (
	peerSampleInterval = 250 * time.Millisecond
	peerSampleTimeout  = 200 * time.Millisecond // at one agent: a paused one does not answer
)

// samplePeers polls the metrics of each agent every peerSampleInterval until the context ends.
func (p *scenarioRun) samplePeers(ctx context.Context) {
	client := &http.Client{Timeout: peerSampleTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	p.peerViews = make([][]peerView, len(p.agents))
	began := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	for i, agent := range p.agents {
		all.Go(func() {
			tick := time.NewTicker(peerSampleInterval)
			defer tick.Stop()
			for {
				if view, err := fetchPeerView(ctx, client, agent.Control); err == nil {
					view.at = time.Since(began)
					p.peerViews[i] = append(p.peerViews[i], view)
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

// fetchPeerView reads what an agent sees of its peers from its metrics.
func fetchPeerView(ctx context.Context, client *http.Client, control string) (view peerView, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/v1/metrics", nil)
	if err != nil {
		return view, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return view, err
	}
	defer resp.Body.Close()
	var metrics struct {
		Peers    *peerMetrics     `json:"peers"`
		Overload *overloadMetrics `json:"overload"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&metrics); err != nil {
		return view, err
	}
	view.overload = metrics.Overload
	if metrics.Peers != nil {
		view.names, view.bytesSent, view.metrics = metrics.Peers.Names, metrics.Peers.Bytes, *metrics.Peers
	}
	return view, nil
}

// faultEnd is the end of a fault.
type faultEnd struct {
	fault string
	at    time.Duration
}

// faultEnds are those of the day's faults between and of agents, in order; the beginning of the day is the first.
func faultEnds(day *emulator.Scenario) []faultEnd {
	out := []faultEnd{{"the start", 0}}
	for _, p := range day.Spec.Fleet.Paths {
		out = append(out, faultEnd{p.String(), p.To.D()})
	}
	agentFaults := map[faultEnd]int{}
	for _, t := range day.AgentFaults {
		agentFaults[faultEnd{t.Kind, t.At + t.Duration}]++
	}
	for e, n := range agentFaults {
		out = append(out, faultEnd{fmt.Sprintf("%s of %d", e.fault, n), e.at})
	}
	slices.SortFunc(out, func(a, b faultEnd) int { return int(a.at - b.at) })
	return out
}

// summarizeViews summarizes what the agents saw of each other.
func summarizeViews(day *emulator.Scenario, peerViews [][]peerView) *PeerSummary {
	views := &PeerSummary{Agents: len(day.Agents), Recoveries: healedAfterFaults(day, peerViews)}
	var noticeSum time.Duration
	for _, agentViews := range peerViews {
		if len(agentViews) < 2 {
			continue
		}
		views.addAgent(day, agentViews)
		noticeSum += agentViews[len(agentViews)-1].metrics.Notices.Sum
	}
	views.MaxReplicaStates, views.ReplicaStatesAtEnd = countCopies(peerViews)
	if views.Notices > 0 {
		views.NoticeMeanMS = float64(noticeSum.Microseconds()) / 1e3 / float64(views.Notices)
	}
	return views
}

// members is the number of a day's peers, the byzantine ones among them.
func members(day *emulator.Scenario) int {
	return len(day.Agents) + len(day.Spec.Fleet.ByzantinePeers)
}

// seesAll reports whether an agent saw all its peers.
func (v peerView) seesAll(day *emulator.Scenario) bool { return len(v.names) == members(day)-1 }

// healedAfterFaults returns, for each fault, how long the agents took to see all others after it had ended. Only the time until the next
// fault ends counts.
func healedAfterFaults(day *emulator.Scenario, peerViews [][]peerView) (out []Recovery) {
	ends := faultEnds(day)
	for i, end := range ends {
		since, limit := time.Duration(0), day.Length
		if i > 0 {
			since = ends[i-1].at
		}
		if i+1 < len(ends) {
			limit = ends[i+1].at
		}
		out = append(out, healedAfter(day, peerViews, end, since, limit))
	}
	return out
}

// healedAfter is the same for one fault: since is when the one before it ended, limit when the next one does.
func healedAfter(day *emulator.Scenario, peerViews [][]peerView, end faultEnd, since, limit time.Duration) Recovery {
	healed := Recovery{Fault: end.fault, At: end.at.Seconds(), MinPeersSeen: members(day) - 1}
	var delays []float64
	for _, agentViews := range peerViews {
		for _, view := range agentViews {
			if view.at >= since && view.at < end.at {
				healed.MinPeersSeen = min(healed.MinPeersSeen, len(view.names))
			}
		}
		first := slices.IndexFunc(agentViews, func(v peerView) bool { return v.at >= end.at && v.at < limit && v.seesAll(day) })
		if first < 0 {
			healed.NeverRecovered++
			continue
		}
		delays = append(delays, (agentViews[first].at - end.at).Seconds())
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		healed.Median, healed.Worst = delays[len(delays)/2], delays[len(delays)-1]
	}
	return healed
}

// addAgent adds one agent's samples, of which there are two at least.
func (v *PeerSummary) addAgent(day *emulator.Scenario, agentViews []peerView) {
	last := agentViews[len(agentViews)-1]
	agents := float64(len(day.Agents))
	if last.seesAll(day) {
		v.AllSeenAtEnd += 1 / agents
	}
	bytes, seconds := bytesSent(agentViews)
	v.MeanBytesPerSecond += bytes / seconds / agents
	v.MaxBytesPerSecond = max(v.MaxBytesPerSecond, bytes/seconds)
	v.Notices += last.metrics.Notices.Count
	v.NoticeMaxMS = max(v.NoticeMaxMS, float64(last.metrics.Notices.Most.Microseconds())/1e3)
	v.Withheld += last.metrics.HeldBack
	v.FactsRejected += last.metrics.Facts.Rejected
	v.FactsEvicted += last.metrics.Facts.Evicted
	for _, view := range agentViews {
		v.MaxFacts = max(v.MaxFacts, view.metrics.Facts.Held)
	}
}

// bytesSent is what an agent sent its peers, and over how many seconds. A pair of samples between which another process began is left
// out: its counter began at 0.
func bytesSent(agentViews []peerView) (bytes, seconds float64) {
	for i := 1; i < len(agentViews); i++ {
		before, after := agentViews[i-1], agentViews[i]
		if sent := after.bytesSent - before.bytesSent; sent >= 0 {
			bytes += float64(sent)
			seconds += (after.at - before.at).Seconds()
		}
	}
	return bytes, seconds
}

// countCopies returns how many different states of the facts on servers' ends the agents held: in the sample with the most, and in the
// last sample that all agents have.
func countCopies(peerViews [][]peerView) (most, last int) {
	digestsByTick := map[int]map[string]int{}
	for _, agentViews := range peerViews {
		for _, s := range agentViews {
			tick := int(s.at / peerSampleInterval)
			if digestsByTick[tick] == nil {
				digestsByTick[tick] = map[string]int{}
			}
			digestsByTick[tick][s.metrics.Digest]++
		}
	}
	lastTick := -1
	for tick, digests := range digestsByTick {
		most = max(most, len(digests))
		reporting := 0
		for _, k := range digests {
			reporting += k
		}
		if reporting >= len(peerViews) && tick > lastTick {
			lastTick, last = tick, len(digests)
		}
	}
	return most, last
}

// gossipPlots are bytes a second of an agent, and how long the last agent took to see all others after a fault, against the number
// of agents; none where fewer than two numbers ran.
func gossipPlots(outcomes []Outcome) []namedPlot {
	bytes, heals := newPlot("bytes a second that an agent sent its peers", "bytes a second"), newPlot("after a fault: until all see all others", "seconds")
	sent, last, median := map[float64][]float64{}, map[float64][]float64{}, map[float64][]float64{}
	for _, outcome := range outcomes {
		if outcome.Peers == nil || outcome.Interrupted {
			continue
		}
		agents := float64(outcome.Peers.Agents)
		sent[agents] = append(sent[agents], outcome.Peers.MeanBytesPerSecond)
		for _, h := range outcome.Peers.Recoveries[1:] {
			last[agents], median[agents] = append(last[agents], h.Worst), append(median[agents], h.Median)
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
	return []namedPlot{{"peers-bytes", bytes}, {"peers-heals", heals}}
}
