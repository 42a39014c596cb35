package budget

import (
	"math"
	"time"
)

// level is the rate of requests that an agent lets through, which follows what its attempts meet at the nodes.
//
// It moves by events, not by intervals, and by the same step at a quiet agent as at a busy one: an attempt that meets overload
// takes the rate down by a step, one that does not raises it by step times the bearable rate of overload. So it holds still
// where the nodes turn away that share of attempts, whatever the agent's own traffic, and a quiet agent's few outcomes move
// it less often, not further. The bearable rate rises as the share of demand taken falls: of two agents that meet the same
// nodes, the one that takes more is cut until both take the same share.
type level struct {
	set    Settings
	rate   float64       // requests a second
	took   time.Duration // to an answer, smoothed; 0 before the first
	clean  float64       // outcomes in a row without overload
	sent   rate          // first tries let through
	served rate          // attempts that nodes served
	ended  rate          // attempts whose outcome came
	peak   float64       // the highest rate of sent lately
	cut    time.Duration // when the rate was last cut
	at     time.Duration
	// peers' parts count
	together bool
	slack    float64       // how far answers are from late, as a share: 0 to 1
	calm     float64       // the demand that was taken whole of late, requests a second
	calmFor  time.Duration // that it was, up to calmMemory
	surged   bool          // demand far above that is being shed
	start    bool          // since the start no attempt has met overload, and the rate has not yet covered the demand
}

// rate is a count that fades, read as events a second. While it is young it is read by its age, not by its memory.
type rate struct {
	count float64
	begun time.Duration
	last  time.Duration
}

// youngest is the least age by which a rate is read: a first event is no rate of thousands.
const youngest = 250 * time.Millisecond

func (r *rate) add(now, memory time.Duration, n float64) {
	r.fade(now, memory)
	r.count += n
}

func (r *rate) fade(now, memory time.Duration) {
	if r.begun == 0 {
		r.begun, r.last = now, now
	}
	if now > r.last {
		r.count *= math.Exp(-float64(now-r.last) / float64(memory))
		r.last = now
	}
}

func (r *rate) perSecond(now, memory time.Duration) float64 {
	r.fade(now, memory)
	age := float64(max(youngest, now-r.begun)) / float64(memory)
	return r.count / (memory.Seconds() * (1 - math.Exp(-age)))
}

const (
	cutApart    = 0.7 // of the time to an answer, between two cuts
	tookSamples = 16  // over which that time is smoothed
)

// mostHaste bounds how much faster than its step a level rises when many attempts in a row met no overload.
const (
	mostHaste = 16
	sureRun   = 5 // times as long as the bearable rate of overload lets expect

	// Answers well in time say at once that there is room.
	slackFrom  = 0.5
	slackHaste = 10
)

// step is how far an attempt moves the level, as an exponent of e. All agents together must not swing about what the nodes can
// do: so a busy one's steps are smaller, and all of its attempts in a second move it no further than gain times their rate of
// overload.
func (l *level) step(now time.Duration) float64 {
	return min(l.set.MaxStep, l.set.StepsPerSecond/max(1, l.ended.perSecond(now, l.set.AveragingWindow)))
}

// peakMemory is how long the highest rate sent is remembered: a lull between two bursts does not close the level.
const peakMemory = 10 * time.Second

// slowStart is how long the rate of an agent that has just started takes to double while it meets no overload.
const slowStart = 100 * time.Millisecond

// fastest bounds what a slow start may reach, requests a second: more than any one agent carries.
const fastest = 1e6

// overshot is what is left of the rate when the doubling ends by overload: what was sent one doubling before met none.
const overshot = 0.5

// settled is how old the count of demand must be for the slow start to end at it.
const settled = 500 * time.Millisecond

func newLevel(set Settings) level { return level{set: set, rate: set.InitialRate, start: true} }

// bears is the rate of overload at which a level that takes a share of its demand holds still. Together with peers the shares
// are even by themselves, and the lean towards it need not go far.
func (l *level) bears(share float64) float64 {
	lean := l.set.FairnessGain * math.Log(1/max(share, leastShare))
	if l.together {
		return l.set.TargetOverloadRatio * (1 + min(lean, leanTogether))
	}
	return l.set.TargetOverloadRatio * (1 + lean/(1+lean/mostLean))
}

const (
	mostLean     = 1 // that a lean comes near to: all agents at four times the target and more kept nodes full until they choked
	leanTogether = 0.5
)

// leastShare bounds how much more a low level bears.
const leastShare = 0.01

// pass counts a first try that is let through.
func (l *level) pass(now time.Duration) { l.sent.add(now, l.set.AveragingWindow, 1) }

// outcome moves the level by the outcome of an attempt. demand is what is asked for, requests a second.
func (l *level) outcome(now time.Duration, o Outcome, demand float64) {
	l.advance(now, demand)
	l.ended.add(now, l.set.AveragingWindow, 1)
	if o.Overloaded {
		l.clean = 0
		if l.start {
			l.start = false
			// The doubling has overshot, and steps would take seconds to come back from that.
			l.rate = max(l.set.MinRate, overshot*min(l.rate, demand), min(l.rate, l.served.perSecond(now, l.set.AveragingWindow)))
			l.cut = now
			return
		}
		// At the onset of a surge many attempts meet overload that were on their way together, and being turned away takes no
		// time: cuts for each, or before the nodes' queues can show the first, would close the level within a few of them.
		if o.SentAt < l.cut+time.Duration(cutApart*float64(l.took)) {
			return
		}
		l.cut = now
		// Never far below what the nodes do serve: at the onset of a surge nearly all is turned away at once, and a cut for
		// each would close the level while the nodes go on to stand idle.
		floor := min(l.rate, l.set.MinServedFraction*l.served.perSecond(now, l.set.AveragingWindow))
		l.rate = max(l.set.MinRate, floor, l.rate*math.Exp(-l.step(now)))
		return
	}
	l.served.add(now, l.set.AveragingWindow, 1)
	if took := now - o.SentAt; l.took == 0 {
		l.took = took
	} else {
		l.took += (took - l.took) / tookSamples
	}
	l.clean++
	bears := l.bears(l.share(demand))
	// A run without overload so long that chance hardly brings it says that there is room: rise the faster. A shorter one
	// would do, but comes of itself the more often the more of an agent's overload comes in bursts: at the busy.
	haste := min(mostHaste, max(1, math.Exp2(l.clean*bears-sureRun), 1+slackHaste*(l.slack-slackFrom)))
	l.rate = min(l.most(now), l.rate*math.Exp(l.step(now)*bears*haste))
}

// most is the highest rate that what was sent lately gives ground for.
func (l *level) most(now time.Duration) float64 {
	l.settle(now)
	return l.set.HeadroomFactor*l.peak + l.set.HeadroomRate
}

func (l *level) settle(now time.Duration) {
	if now > l.at {
		l.peak *= math.Exp(-float64(now-l.at) / float64(peakMemory))
	}
	l.peak = max(l.peak, l.sent.perSecond(now, l.set.AveragingWindow))
}

// advance brings the level to a time.
func (l *level) advance(now time.Duration, demand float64) {
	if l.start && l.at > 0 && now > l.at {
		l.rate = min(max(l.rate, l.set.HeadroomFactor*demand+l.set.HeadroomRate), l.rate*math.Exp2(float64(now-l.at)/float64(slowStart)))
		if now-l.sent.begun > settled && l.rate > l.set.HeadroomFactor*demand {
			l.start = false
		}
	}
	if !l.start {
		// Without demand the rate sinks towards its least: what a surge may begin with is what was sent before it.
		l.rate = max(l.set.MinRate, min(l.rate, l.most(now)))
	} else {
		l.settle(now)
	}
	if demand <= l.rate && l.at > 0 && now > l.at {
		l.calmFor = min(calmMemory, l.calmFor+now-l.at)
		l.calm += min(1, float64(now-l.at)/float64(l.calmFor)) * (demand - l.calm)
	} else if l.calmFor >= settled && demand > surgeFrom*l.calm {
		l.surged = true
	}
	l.at = max(l.at, now)
}

const (
	calmMemory = 10 * time.Second // over which the demand that is taken whole is smoothed
	surgeFrom  = 2                // times that demand
	surgeTo    = 1.25
)

// recover ends a surge, by what has come in the latest moment: what was taken whole before it is let through again as soon as
// no more comes, however far the surge has taken the level down. One that does not know of before, as it started within the surge,
// searches anew as it did then. If the nodes bear it no more, they say so.
func (l *level) recover(demand, latest float64) {
	switch {
	case l.surged && latest <= surgeTo*l.calm:
		l.surged, l.rate = false, max(l.rate, l.calm+l.set.HeadroomRate)
	case l.calmFor < settled && demand > l.rate && latest < demand/surgeFrom && !likely(demand, latest):
		l.start = true
	}
}

// likely says whether chance alone may bring so many requests a second in the latest moment where so many are usual.
func likely(usual, latest float64) bool {
	n := usual * latestMemory.Seconds()
	return math.Abs(latest-usual)*latestMemory.Seconds() <= sure*math.Sqrt(n)+1
}

const sure = 2 // standard deviations of what comes in latestMemory by chance

// share is the part of a demand that the level takes, up to 1.
func (l *level) share(demand float64) float64 {
	if demand <= l.rate {
		return 1
	}
	return l.rate / demand
}
