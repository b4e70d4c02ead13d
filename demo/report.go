package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Report holds the measurements of callers, upstreams and the platform. None of
// them comes from the state of balancers or agents.
type Report struct {
	Deployment            string             `json:"deployment"`
	Seconds               float64            `json:"seconds"`
	Seed                  uint64             `json:"seed"`
	Sabotage              string             `json:"sabotage,omitempty"`
	FlowsOpened           int                `json:"flowsOpened"`
	FlowsRefused          int                `json:"flowsRefused"`
	FlowsFailedToOpen     int                `json:"flowsFailedToOpen"`
	BrokenFlows           int                `json:"brokenFlows"`
	FlowsGivenUpWithZone  int                `json:"flowsGivenUpWithZone"`
	FlowsLostWithUpstream int                `json:"flowsLostWithUpstream"`
	FeedLines             int                `json:"feedLines"`
	FeedsWhole            int                `json:"feedsWhole"`
	RequestsAnswered      int                `json:"requestsAnswered"`
	RequestsRefused       int                `json:"requestsRefused"`
	RequestsUnknown       int                `json:"requestsUnknown"`
	RequestsWrong         int                `json:"requestsWrong"`
	RefusedButRun         int                `json:"refusedButRun"`
	RunTwice              int                `json:"runTwice"`
	OrdersRepeated        int                `json:"ordersRepeated"`
	Misrouted             int                `json:"misrouted"`
	OverSlots             int                `json:"overSlots"`
	OverCold              int                `json:"overCold"`
	OverColdUnwarned      int                `json:"overColdUnwarned"`
	NewWorkAfterLeaving   float64            `json:"newWorkAfterLeavingSeconds"`
	Imbalance             map[string]float64 `json:"imbalance"`
	ZoneOutSeconds        float64            `json:"zoneOutSeconds"`
	BundleInForceSeconds  float64            `json:"bundleInForceSeconds"`
	MoveAnsweredShare     float64            `json:"moveAnsweredShare"`
	MoveP99Seconds        float64            `json:"moveP99Seconds"`
	MoveSeconds           []Second           `json:"moveSeconds,omitempty"`
	P50Seconds            float64            `json:"p50Seconds"`
	P99Seconds            float64            `json:"p99Seconds"`
	PlatformReads         uint64             `json:"platformReads"`
	PlatformWrites        uint64             `json:"platformWrites"`
	Broken                []string           `json:"broken"`
	BrokenFlowDetails     []BrokenFlow       `json:"brokenFlowDetails,omitempty"`
	Causes                map[string]int     `json:"causes,omitempty"`
}

// Second sums up the requests that ended in one second of a zone's move, which
// lasts from the command to take the zone out until shortly after its return.
type Second struct {
	// Second is the number of whole seconds since the operator's command to take
	// the zone out.
	Second        int     `json:"second"`
	Asked         int     `json:"asked"`
	AnsweredShare float64 `json:"answeredShare"`
	P99Seconds    float64 `json:"p99Seconds"`
}

// Limits of the invariants, in seconds except maxFailedOpenings, which is a number of
// flows.
const (
	maxZoneOutSeconds = 5.0
	maxInForceSeconds = 19.0
	maxNewWorkSeconds = 3.0
	maxFailedOpenings = 0
)

// checkInvariants sets Broken to the invariants that the run violated.
func (r *Report) checkInvariants() {
	r.Broken = []string{}
	add := func(broken bool, text string, v any) {
		if broken {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %v", text, v))
		}
	}
	add(r.BrokenFlows > 0, "flows broke", r.BrokenFlows)
	add(r.RequestsWrong > 0, "requests got a wrong answer", r.RequestsWrong)
	add(r.RefusedButRun > 0, "refused as not run, but run", r.RefusedButRun)
	add(r.RunTwice > 0, "orders run twice", r.RunTwice)
	add(r.Misrouted > 0, "requests reached another service", r.Misrouted)
	add(r.OverSlots > 0, "work beyond an upstream's slots", r.OverSlots)
	add(r.OverCold > 0, "work beyond what a cold upstream bears", r.OverCold)
	add(r.ZoneOutSeconds > maxZoneOutSeconds, "zone that is out still served, seconds", r.ZoneOutSeconds)
	add(r.BundleInForceSeconds > maxInForceSeconds, "bundle in force late, seconds", r.BundleInForceSeconds)
	add(r.NewWorkAfterLeaving > maxNewWorkSeconds, "leaving upstream got new work, seconds", r.NewWorkAfterLeaving)
	add(r.FlowsFailedToOpen > maxFailedOpenings, "flows failed to open", r.FlowsFailedToOpen)
	add(r.RequestsAnswered == 0, "no request was answered", r.RequestsAnswered)
}

// write writes the report as one JSON object.
func (r *Report) write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// recorder collects the measurements of the callers.
type recorder struct {
	start   time.Time
	mu      sync.Mutex
	r       Report
	samples []sample
	flows   map[string]map[string]int // open flows by service and agent
	// shares holds, by service, samples of the largest number of flows at an
	// upstream, divided by the mean over the upstreams.
	shares map[string][]float64
	// causes counts failures by their error text.
	causes map[string]int
	// steps are the script's steps so far; flowCount is the number of flows dialed.
	steps     []ActiveStep
	flowCount int
}

// sample records one finished request.
type sample struct {
	at       time.Time
	took     time.Duration
	answered bool
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), flows: map[string]map[string]int{}, shares: map[string][]float64{}, causes: map[string]int{}}
}

// update calls f on the report while holding the lock.
func (r *recorder) update(f func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.r)
}

// addCause counts a failure under its text.
func (r *recorder) addCause(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.causes[text]++
}

// addRequest records a finished request.
func (r *recorder) addRequest(took time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample{time.Now(), took, answered})
	if answered {
		r.r.RequestsAnswered++
	}
}

// addFlows adds n to the number of open flows at an agent of the service.
func (r *recorder) addFlows(service, up string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.flows[service]
	if m == nil {
		m = map[string]int{}
		r.flows[service] = m
	}
	m[up] += n
}

// minFlowsPerUpstream is the mean number of flows per upstream below which shares
// are not sampled.
const minFlowsPerUpstream = 4

// sampleShares records, for each service, the largest number of flows at one of
// the given agents, divided by the mean over these agents.
func (r *recorder) sampleShares(ups map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for svc, names := range ups {
		most, sum := 0, 0
		for _, n := range names {
			c := r.flows[svc][n]
			most, sum = max(most, c), sum+c
		}
		if len(names) > 0 && sum >= minFlowsPerUpstream*len(names) {
			r.shares[svc] = append(r.shares[svc], float64(most)*float64(len(names))/float64(sum))
		}
	}
}

// finish returns the report of all requests so far. The zone's move lasts from the
// first time until the second.
func (r *recorder) finish(from, to time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.r
	out.Causes = r.causes
	out.Imbalance = map[string]float64{}
	for s, x := range r.shares {
		slices.Sort(x)
		out.Imbalance[s] = x[len(x)/2]
	}
	var all []time.Duration
	for _, s := range r.samples {
		if s.answered {
			all = append(all, s.took)
		}
	}
	out.P50Seconds, out.P99Seconds = quantile(all, 0.5), quantile(all, 0.99)
	whole := summarize(r.samples, from, to)
	out.MoveAnsweredShare, out.MoveP99Seconds = whole.AnsweredShare, whole.P99Seconds
	for at := from; at.Before(to); at = at.Add(time.Second) {
		w := summarize(r.samples, at, at.Add(time.Second))
		w.Second = len(out.MoveSeconds)
		out.MoveSeconds = append(out.MoveSeconds, w)
	}
	return out
}

// summarize sums up the requests that ended at or after from and before to.
func summarize(samples []sample, from, to time.Time) Second {
	var w Second
	var answered []time.Duration
	for _, s := range samples {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		w.Asked++
		if s.answered {
			answered = append(answered, s.took)
		}
	}
	w.P99Seconds = quantile(answered, 0.99)
	if w.Asked > 0 {
		w.AnsweredShare = float64(len(answered)) / float64(w.Asked)
	}
	return w
}

// quantile returns the q-quantile of the durations in seconds, or 0 if there are
// none. It sorts d.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Seconds()
}
