// Package placement chooses the upstream for an opening by the time at which its answer is
// expected.
package placement

import (
	"math"
	"time"
)

// The candidates are those few upstreams that rendezvous hashing ranks highest, so balancers do
// not all send to the same upstream. The expected time of an answer is the time on the way, the
// wait for a slot and the service time. If the tail of an upstream's service times exceeds the
// route's target latency, the risk to be late is added.
//
// Reports are older than requests take. The wait therefore comes from the reported number of
// requests while the report is fresh, and from the utilization later.

// Way is a way to choose among candidates.
type Way uint8

// Ways to choose. All except ByTimeAndRisk exist for comparison.
const (
	// ByTimeAndRisk takes the least expected time with the risk to be late.
	ByTimeAndRisk Way = iota
	// ByTime takes the least expected time.
	ByTime
	// ByWeightedCount takes the fewest flows and requests per slot and speed.
	ByWeightedCount
)

// Candidate is what a balancer knows of an upstream.
type Candidate struct {
	Slots int
	// Requests is the number of requests in progress or expected, as last reported.
	Requests int
	// Pending is the number of openings that this balancer has sent and that are not answered.
	Pending int
	// Flows is the number of open flows.
	Flows int
	// ServiceTime is the mean and TailTime the time that nine in ten requests do not exceed; 0:
	// not known.
	ServiceTime, TailTime time.Duration
	// Utilization is the share of slot time in use, if UtilizationKnown is set.
	Utilization      float64
	UtilizationKnown bool
	// Age is the age of the report.
	Age time.Duration
	// RoundTrip is the time on the way to the upstream and back.
	RoundTrip time.Duration
	// Class is the class of the upstream. Candidates of a lower class are preferred.
	Class uint8
	// OwnZone: the upstream is in the balancer's own availability zone.
	OwnZone bool
}

// Speed is the mean of the service's upstreams.
type Speed struct{ ServiceTime, TailTime time.Duration }

const (
	// AlikeFactor is the factor below which speeds count as alike.
	AlikeFactor       = 1.5
	nearlyAlikeFactor = 1.25
	// MaxReportAge is the age from which a report is not used. It exceeds the interval of
	// statuses in large fleets.
	MaxReportAge = 30 * time.Second
	// maxLead is the factor by which an upstream can be faster than the mean. One that looks
	// faster fails its requests at once, and would get most of them, or its report is false.
	maxLead = 2
	// riskWeight is what a request that is certainly late costs, in target latencies. It counts
	// only where the tail exceeds the target: a term for all requests makes more of them late at
	// full load.
	riskWeight = 1
	// tailShare is the share of requests that take longer than the tail time.
	tailShare = 0.1
	// queueScale is the number of waiting requests per slot that a utilization of 1 above full
	// stands for.
	queueScale = 10
	// freshHalfLife, in service times, is how fast a reported number of requests loses its
	// meaning.
	freshHalfLife = 2
	// zonePreference is how much longer an answer from the own zone may take, as in the
	// placement by count.
	zonePreference = 1.1
	// maxUtilization limits the wait that is calculated for a full upstream.
	maxUtilization = 0.98
)

// Choice is the result of Choose.
type Choice struct {
	// Index is that of the chosen candidate; -1 if there is no candidate or if the candidates
	// are alike, so that the count decides.
	Index int
	// Expected is the time after which the answer is expected.
	Expected time.Duration
}

// Choose returns the candidate at which an opening with the given target latency (0: none) is
// answered first. The candidates are in the order of their rank.
func (w Way) Choose(cs []Candidate, s Speed, target time.Duration) Choice {
	var r Range
	for i := range cs {
		r.Add(cs[i].Speed(s))
	}
	if len(cs) == 0 || s.ServiceTime <= 0 || r.Alike() {
		return Choice{Index: -1}
	}
	best, least, expected := -1, math.Inf(1), time.Duration(0)
	for i := range cs {
		if best >= 0 && cs[i].Class > cs[best].Class {
			continue
		}
		c, d := w.cost(&cs[i], s, target)
		if cs[i].OwnZone && cs[i].expectedRequests(s)+1 <= float64(cs[i].slots()) {
			c /= zonePreference
		}
		if best < 0 || cs[i].Class < cs[best].Class || c < least {
			best, least, expected = i, c, d
		}
	}
	return Choice{best, expected}
}

// Range is the range of some upstreams' speeds. The zero value is empty.
type Range struct{ fastest, slowest Speed }

// Add adds an upstream.
func (r *Range) Add(s Speed) {
	if r.fastest.ServiceTime == 0 || s.ServiceTime < r.fastest.ServiceTime {
		r.fastest = s
	}
	if s.ServiceTime > r.slowest.ServiceTime {
		r.slowest = s
	}
}

// Alike reports whether the speeds differ by less than AlikeFactor.
func (r *Range) Alike() bool { return !r.slowest.slowerThan(r.fastest, AlikeFactor) }

// slowerThan reports whether mean and tail exceed those of o by the factor. The mean alone can do
// so because of few long requests.
func (s Speed) slowerThan(o Speed, factor float64) bool {
	return float64(s.ServiceTime) >= factor*float64(o.ServiceTime) &&
		float64(s.TailTime) >= factor*float64(o.TailTime)
}

// IsSlow reports whether the candidate is slower than the mean of the service by AlikeFactor.
// IsNearlySlow has a lower limit, so that a candidate near the limit is not reported as slow and
// not slow in turns.
func (c *Candidate) IsSlow(s Speed) bool       { return c.Speed(s).slowerThan(s, AlikeFactor) }
func (c *Candidate) IsNearlySlow(s Speed) bool { return c.Speed(s).slowerThan(s, nearlyAlikeFactor) }

// Known reports whether the candidate's speed is known.
func (c *Candidate) Known() bool {
	return c.ServiceTime > 0 && c.TailTime > 0 && c.Age <= MaxReportAge
}

// Speed returns the reported speed, or the service's mean if that is not known or not plausible.
func (c *Candidate) Speed(s Speed) Speed {
	if !c.Known() || c.ServiceTime < s.ServiceTime/maxLead {
		return s
	}
	return Speed{c.ServiceTime, max(c.TailTime, s.TailTime/maxLead)}
}

func (c *Candidate) slots() int { return max(c.Slots, 1) }

// cost returns the value that the chosen candidate minimizes, and the time after which an answer
// is expected.
func (w Way) cost(c *Candidate, s Speed, target time.Duration) (cost float64, expected time.Duration) {
	v := c.Speed(s)
	wait := c.wait(v)
	expected = c.RoundTrip + wait + v.ServiceTime
	switch {
	case w == ByWeightedCount:
		return float64(c.Flows+c.Requests+c.Pending+1) / float64(c.slots()) * float64(v.ServiceTime), expected
	case w == ByTime || target <= 0:
		return float64(expected), expected
	}
	return float64(expected)/float64(target) + riskWeight*risk(v, target-c.RoundTrip), expected
}

// Expected returns the time after which an answer is expected.
func (c *Candidate) Expected(s Speed) time.Duration {
	_, expected := ByTime.cost(c, s, 0)
	return expected
}

// risk returns by how much the share of requests that take longer than the given time exceeds a
// tenth. It is 0 unless the tail time does. The wait does not count: it is in the expected time.
func risk(v Speed, left time.Duration) float64 {
	if left >= v.TailTime {
		return 0
	}
	return (1 - tailShare) * (1 - float64(max(0, left))/float64(v.TailTime))
}

// wait returns how long a request waits for a slot of the candidate, which has the given speed.
func (c *Candidate) wait(v Speed) time.Duration {
	n, service := float64(c.slots()), float64(v.ServiceTime)
	fresh := service / n * max(0, float64(c.Requests+c.Pending+1)-n)
	if !c.UtilizationKnown || c.Age > MaxReportAge {
		return time.Duration(fresh)
	}
	f := c.freshness(service)
	if f > 0.99 {
		return time.Duration(fresh)
	}
	// The mean wait in a queue with n servers (Sakasegawa's approximation). The openings that
	// are on the way add to it.
	u := min(c.Utilization+float64(c.Pending)/n, maxUtilization)
	stale := service / n * (math.Pow(u, math.Sqrt(2*(n+1))-1)/(1-u) + max(0, c.Utilization-1)*queueScale*n)
	return time.Duration(f*fresh + (1-f)*stale)
}

// freshness returns the weight of the reported number of requests, between 0 and 1.
func (c *Candidate) freshness(service float64) float64 {
	return math.Exp2(-float64(c.Age) / (freshHalfLife * service))
}

// expectedRequests returns how many requests the upstream is expected to have now.
func (c *Candidate) expectedRequests(s Speed) float64 {
	n := float64(c.Requests)
	if c.UtilizationKnown {
		f := c.freshness(float64(c.Speed(s).ServiceTime))
		n = f*n + (1-f)*c.Utilization*float64(c.slots())
	}
	return n + float64(c.Pending)
}
