package logic

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one client process. It is a deterministic state machine: equal settings, seed and
// events give equal actions. It is not safe for concurrent use. A restart is a new Balancer.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	ticked   time.Duration // the latest tick
	servers  []*server     // those of the list, in the order it first named them
	byID     map[string]*server
	kept     map[string]recollection // of servers that are not listed
	requests map[string]*request     // open, or with attempts in flight
	open     deadlines               // requests that have a deadline and have not ended
	armed    time.Duration           // what the latest timer for them is set for; 0 when none is
	arms     uint64                  // such timers so far
	subset   int                     // how many of the servers get its requests, at least
	crowd    int                     // how many own attempts in flight want
	horizon  time.Duration           // the longest aim: how far back averages over time look
	usual    []float64               // mean time to an answer, a class each
	ending   bool                    // whatever comes is ended at once
	budget   float64                 // further attempts that may be made
	tries    int                     // subscriptions that failed in a row
	asking   bool                    // a timer to ask again is set
	trialBy  Idempotency             // the least harmful effect among the classes
	late     float64                 // mean time taken over aim
	sent     float64                 // own answers of the last shareTime horizons
	span     float64                 // and the seconds that they took
	asked    []float64               // requests lately, a tenant each
	askedAll float64
	reports  bool    // some server has reported its load
	busy     float64 // use of the servers, as they report it
	shed     float64 // share of requests of mean worth that is refused
	shedAt   float64 // mean time taken over aim at which it begins
	total    float64 // capacity at present of the own servers
	well     float64 // and of those of them that are not ejected
	worth    float64 // mean worth of a request lately
	probes   float64 // that may be sent
	full     float64 // share of attempts lately that were turned away as full
	outcomes float64 // of which that is the share, up to a bound
	suspect  float64 // what looks like a jam: time taken over aim, above what is usual
}

// server is all that is known of one server.
type server struct {
	Endpoint
	inFlight  []*attempt    // own, oldest first
	life      time.Duration // when the news of its latest restart came; 0 without one
	took      float64       // own mean time to an answer in seconds, kept while no server reports
	rate      float64       // capacity in requests a second; 0 without an estimate
	trust     float64       // in the estimate: 1 after a report, less with time
	capacity  float64       // the estimate, or the mean of the others where that is old
	known     float64       // own answers that took is the mean of, fewer with time
	used      float64       // share of its cores' time in use, as probes told
	usedAt    time.Duration // when the latest told; 0: never
	polled    float64       // logarithm of the capacity that probes told
	polledVar float64       // and its variance then
	polledAt  time.Duration
	probing   bool          // a probe is under way
	nextProbe time.Duration // the earliest time of the next
	done      float64       // reported requests a second, smoothed
	util      float64       // reported use, smoothed
	busy      float64       // and as last reported
	reported  time.Duration // the latest report
	heard     time.Duration // the latest sign of life or, if later, the first send that waits for one
	failing   float64       // share of failures among the latest outcomes
	until     time.Duration // ejected to then; 0 when not
	trial     bool          // one trial is under way
	told      bool          // ejected on other balancers' word alone
	weight    float64       // capacity at present, for the request at hand
	own       bool          // one of those that this balancer spreads its requests over, in its own order
	rank      uint64        // of the balancer's own order of the servers
}

type request struct {
	Request
	class    *Class
	attempts []*attempt
	out      int // attempts in flight
	closed   bool
	spent    bool // it can't be sent again
	limited  bool // it is in the heap of deadlines
	place    int  // there
}

type attempt struct {
	req      *request
	srv      *server
	zone     int // the server's when it was sent: a list may change them
	cell     int
	sent     time.Duration
	owed     time.Duration // since when the server owes an answer; 0 while the request still comes in
	out      bool
	neverRan bool
}

// deadlines is a heap of requests by their deadline, and by id where that is equal.
type deadlines []*request

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, j int) bool {
	return d[i].Deadline < d[j].Deadline || d[i].Deadline == d[j].Deadline && d[i].ID < d[j].ID
}
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}
func (d *deadlines) Push(x any) {
	r := x.(*request)
	r.limited, r.place = true, len(*d)
	*d = append(*d, r)
}
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	r := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	r.limited = false
	return r
}

// SubsetIDs names the servers that the Balancer spreads its requests over at present, kept out or not. It is for those who watch,
// and changes nothing.
func (b *Balancer) SubsetIDs() (ids []string) {
	for _, s := range b.servers {
		if s.own {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
