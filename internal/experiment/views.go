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

// PeerSummary sums up what agents that gossip saw of their peers in a scenario.
type PeerSummary struct {
	Agents             int        `json:"agents"`
	Recoveries         []Recovery `json:"healed"`                // after each fault has ended
	AllSeenAtEnd       float64    `json:"whole_at_end"`          // share of the agents that saw all others when the scenario ended
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
	At             float64 `json:"at_s"` // of the scenario: when it ended
	Median         float64 `json:"median_s"`
	Worst          float64 `json:"worst_s"`
	NeverRecovered int     `json:"never"` // agents that did not before the next fault had ended
	MinPeersSeen   int     `json:"least"` // fewest peers that an agent saw in the fault and since the one before had ended
}

// peerSample is a sample of what an agent sees of its peers.
type peerSample struct {
	at        time.Duration // of the scenario
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
	p.peerSamples = make([][]peerSample, len(p.agents))
	began := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	for i, agent := range p.agents {
		all.Go(func() {
			tick := time.NewTicker(peerSampleInterval)
			defer tick.Stop()
			for {
				if sample, err := fetchPeerSample(ctx, client, agent.Control); err == nil {
					sample.at = time.Since(began)
					p.peerSamples[i] = append(p.peerSamples[i], sample)
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

// fetchPeerSample reads what an agent sees of its peers from its metrics.
func fetchPeerSample(ctx context.Context, client *http.Client, control string) (sample peerSample, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/v1/metrics", nil)
	if err != nil {
		return sample, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return sample, err
	}
	defer resp.Body.Close()
	var metrics struct {
		Peers    *peerMetrics     `json:"peers"`
		Overload *overloadMetrics `json:"overload"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&metrics); err != nil {
		return sample, err
	}
	sample.overload = metrics.Overload
	if metrics.Peers != nil {
		sample.names, sample.bytesSent, sample.metrics = metrics.Peers.Names, metrics.Peers.Bytes, *metrics.Peers
	}
	return sample, nil
}

// faultEnd is the end of a fault.
type faultEnd struct {
	fault string
	at    time.Duration
}

// faultEnds are those of the scenario's faults between and of agents, in order; the beginning of the scenario is the first.
func faultEnds(scenario *emulator.Scenario) []faultEnd {
	out := []faultEnd{{"the start", 0}}
	for _, p := range scenario.Spec.Fleet.Paths {
		out = append(out, faultEnd{p.String(), p.To.D()})
	}
	agentFaults := map[faultEnd]int{}
	for _, t := range scenario.AgentFaults {
		agentFaults[faultEnd{t.Kind, t.At + t.Duration}]++
	}
	for e, n := range agentFaults {
		out = append(out, faultEnd{fmt.Sprintf("%s of %d", e.fault, n), e.at})
	}
	slices.SortFunc(out, func(a, b faultEnd) int { return int(a.at - b.at) })
	return out
}

// summarizePeers summarizes what the agents saw of each other.
func summarizePeers(scenario *emulator.Scenario, peerSamples [][]peerSample) *PeerSummary {
	peers := &PeerSummary{Agents: len(scenario.Agents), Recoveries: recoveriesAfterFaults(scenario, peerSamples)}
	var noticeSum time.Duration
	for _, samples := range peerSamples {
		if len(samples) < 2 {
			continue
		}
		peers.addAgent(scenario, samples)
		noticeSum += samples[len(samples)-1].metrics.Notices.Sum
	}
	peers.MaxReplicaStates, peers.ReplicaStatesAtEnd = countReplicaStates(peerSamples)
	if peers.Notices > 0 {
		peers.NoticeMeanMS = float64(noticeSum.Microseconds()) / 1e3 / float64(peers.Notices)
	}
	return peers
}

// members is the number of a scenario's peers, the byzantine ones among them.
func members(scenario *emulator.Scenario) int {
	return len(scenario.Agents) + len(scenario.Spec.Fleet.ByzantinePeers)
}

// seesAll reports whether an agent saw all its peers.
func (v peerSample) seesAll(scenario *emulator.Scenario) bool {
	return len(v.names) == members(scenario)-1
}

// recoveriesAfterFaults returns, for each fault, how long the agents took to see all others after it had ended. Only the time until the next
// fault ends counts.
func recoveriesAfterFaults(scenario *emulator.Scenario, peerSamples [][]peerSample) (out []Recovery) {
	ends := faultEnds(scenario)
	for i, end := range ends {
		since, limit := time.Duration(0), scenario.Length
		if i > 0 {
			since = ends[i-1].at
		}
		if i+1 < len(ends) {
			limit = ends[i+1].at
		}
		out = append(out, recoveryAfter(scenario, peerSamples, end, since, limit))
	}
	return out
}

// recoveryAfter is the same for one fault: since is when the one before it ended, limit when the next one does.
func recoveryAfter(scenario *emulator.Scenario, peerSamples [][]peerSample, end faultEnd, since, limit time.Duration) Recovery {
	recovery := Recovery{Fault: end.fault, At: end.at.Seconds(), MinPeersSeen: members(scenario) - 1}
	var delays []float64
	for _, samples := range peerSamples {
		for _, sample := range samples {
			if sample.at >= since && sample.at < end.at {
				recovery.MinPeersSeen = min(recovery.MinPeersSeen, len(sample.names))
			}
		}
		first := slices.IndexFunc(samples, func(v peerSample) bool { return v.at >= end.at && v.at < limit && v.seesAll(scenario) })
		if first < 0 {
			recovery.NeverRecovered++
			continue
		}
		delays = append(delays, (samples[first].at - end.at).Seconds())
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		recovery.Median, recovery.Worst = delays[len(delays)/2], delays[len(delays)-1]
	}
	return recovery
}

// addAgent adds one agent's samples, of which there are two at least.
func (v *PeerSummary) addAgent(scenario *emulator.Scenario, samples []peerSample) {
	last := samples[len(samples)-1]
	agents := float64(len(scenario.Agents))
	if last.seesAll(scenario) {
		v.AllSeenAtEnd += 1 / agents
	}
	bytes, seconds := bytesSent(samples)
	v.MeanBytesPerSecond += bytes / seconds / agents
	v.MaxBytesPerSecond = max(v.MaxBytesPerSecond, bytes/seconds)
	v.Notices += last.metrics.Notices.Count
	v.NoticeMaxMS = max(v.NoticeMaxMS, float64(last.metrics.Notices.Most.Microseconds())/1e3)
	v.Withheld += last.metrics.HeldBack
	v.FactsRejected += last.metrics.Facts.Rejected
	v.FactsEvicted += last.metrics.Facts.Evicted
	for _, sample := range samples {
		v.MaxFacts = max(v.MaxFacts, sample.metrics.Facts.Held)
	}
}

// bytesSent is what an agent sent its peers, and over how many seconds. A pair of samples between which another process began is left
// out: its counter began at 0.
func bytesSent(samples []peerSample) (bytes, seconds float64) {
	for i := 1; i < len(samples); i++ {
		before, after := samples[i-1], samples[i]
		if sent := after.bytesSent - before.bytesSent; sent >= 0 {
			bytes += float64(sent)
			seconds += (after.at - before.at).Seconds()
		}
	}
	return bytes, seconds
}

// countReplicaStates returns how many different states of the facts on servers' ends the agents held: in the sample with the most, and in the
// last sample that all agents have.
func countReplicaStates(peerSamples [][]peerSample) (most, last int) {
	digestsByTick := map[int]map[string]int{}
	for _, samples := range peerSamples {
		for _, s := range samples {
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
		if reporting >= len(peerSamples) && tick > lastTick {
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
