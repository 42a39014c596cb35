package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"ryeweir/internal/emulator"
)

// PeerSummary summarizes what agents that gossip reported of their peers during a run.
type PeerSummary struct {
	Agents             int        `json:"agents"`
	Recoveries         []Recovery `json:"healed"`                // by fault
	AllSeenAtEnd       float64    `json:"whole_at_end"`          // fraction of the agents that saw all others at the end of the run
	MeanBytesPerSecond float64    `json:"bytes_per_second"`      // sent by an agent to its peers, mean of all agents
	MaxBytesPerSecond  float64    `json:"bytes_per_second_most"` // by the agent that sent most
	Notices            int64      `json:"notices"`               // drains and removals that a fact from a peer confirmed at an agent
	NoticeMeanMS       float64    `json:"notice_mean_ms"`        // mean time from the notification of the first agent until the fact of a notice arrived at an agent
	NoticeMaxMS        float64    `json:"notice_worst_ms"`       // maximum of the time whose mean is NoticeMeanMS
	Withheld           int64      `json:"held_back"`             // drains at an agent by notices of peers, while its own list still had the server as ready
	FactsRejected      int64      `json:"facts_refused"`         // facts that were malformed, or too many from one agent
	FactsEvicted       int64      `json:"facts_evicted"`         // facts evicted from a full replica
	MaxFacts           int        `json:"facts_most"`            // most facts that an agent held at once
	MaxReplicaStates   int        `json:"copies_most"`           // most different replicas of the facts on servers' ends that agents held in one sample
	ReplicaStatesAtEnd int        `json:"copies_at_end"`         // different replicas in the last sample that all agents have
}

// Recovery is how long the agents took to see all others after a fault had ended.
type Recovery struct {
	Fault          string  `json:"fault"`
	At             float64 `json:"at_s"`     // when the fault ended, in seconds since the beginning of the run
	Median         float64 `json:"median_s"` // seconds that the median agent took
	Worst          float64 `json:"worst_s"`  // seconds that the slowest agent took
	NeverRecovered int     `json:"never"`    // agents that did not see all others before the next fault had ended
	MinPeersSeen   int     `json:"least"`    // fewest peers that an agent saw from the end of the fault before until the end of this one
}

// peerSample is a sample of an agent's metrics of its peers and its budget.
type peerSample struct {
	at        time.Duration // since the beginning of the run
	names     []string      // of the peers that the agent sees
	bytesSent int64         // to its peers, by the current process so far
	metrics   peerMetrics

	overload *overloadMetrics // of the agent's budget; nil without one
}

// peerMetrics are the "peers" metrics of an agent.
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
	peerSampleTimeout  = 200 * time.Millisecond // a paused agent does not answer
)

// samplePeers reads the metrics of each agent every peerSampleInterval until ctx ends.
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

// fetchPeerSample reads the metrics of the agent with the address control.
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

// faultEnd is the end of a fault, with a description of the fault.
type faultEnd struct {
	fault string
	at    time.Duration
}

// faultEnds returns the ends of the faults of agents and of the paths between them, in order. The first entry is the beginning of the
// scenario.
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

// summarizePeers summarizes the agents' metrics of their peers.
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

// members returns the number of members of the gossip: the agents and the byzantine peers.
func members(scenario *emulator.Scenario) int {
	return len(scenario.Agents) + len(scenario.Spec.Fleet.ByzantinePeers)
}

// seesAll reports whether the agent saw all other members.
func (v peerSample) seesAll(scenario *emulator.Scenario) bool {
	return len(v.names) == members(scenario)-1
}

// recoveriesAfterFaults returns a Recovery for each fault. An agent must see all others before the next fault ends.
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

// recoveryAfter returns the Recovery for one fault. since is when the fault before it ended, limit when the next one ends.
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

// addAgent adds the samples of one agent, of which there must be at least two.
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

// bytesSent returns how many bytes an agent sent its peers, and in how many seconds. It leaves out pairs of samples between which a new
// process started, as its counter starts at 0.
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

// countReplicaStates returns how many different replicas of the facts on servers' ends the agents held: most in the sample with most of
// them, last in the last sample that all agents have.
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
