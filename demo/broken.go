package demo

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"pomeloway.example/pomeloway/standin"
)

// A broken flow is described by what its caller, the fabric and the script know of it, so
// that its datagrams and the log lines of its balancers and agent can be found. All times
// are in seconds since the recorder was created, shortly before the run.

// BrokenFlow describes a flow that broke.
type BrokenFlow struct {
	// Number counts the flows in the order in which they were dialed. ID is the first
	// connection ID of the flow.
	Number int    `json:"number"`
	ID     string `json:"id"`
	// Caller is the address of the flow's caller; PeerAddress is the address that
	// balancers and agents see and log instead.
	Caller      string `json:"caller"`
	PeerAddress string `json:"peerAddress,omitempty"`
	// SharedPort: other flows use the same address, and the fabric's times include them.
	SharedPort bool   `json:"sharedPort,omitempty"`
	Service    string `json:"service"`
	// Agent is the agent that the first answer named. HeldBy are the agents that had the
	// flow when it broke.
	Agent  string   `json:"agent,omitempty"`
	HeldBy []string `json:"heldBy,omitempty"`
	During string   `json:"during"`
	Error  string   `json:"error"`
	// LastSentTo and LastReceivedFrom are the balancers of the last datagrams from and to
	// the caller, at LastSentAt and LastReceivedAt. 0 means none.
	LastSentTo       string  `json:"lastSentTo,omitempty"`
	LastReceivedFrom string  `json:"lastReceivedFrom,omitempty"`
	Sent             uint64  `json:"sent"`
	Received         uint64  `json:"received"`
	OpenedAt         float64 `json:"openedAt"`
	LastSentAt       float64 `json:"lastSentAt,omitempty"`
	LastReceivedAt   float64 `json:"lastReceivedAt,omitempty"`
	BrokeAt          float64 `json:"brokeAt"`
	// Steps are the script's steps that were active between OpenedAt and BrokeAt.
	Steps []ActiveStep `json:"steps,omitempty"`
}

// ActiveStep is a step of the script with the time during which it had effect.
type ActiveStep struct {
	Text string  `json:"text"`
	From float64 `json:"from"`
	// To is 0 if the step was still active when the flow broke.
	To float64 `json:"to,omitempty"`
}

// beginStep records the beginning of a step and returns the function that records its end.
func (r *recorder) beginStep(text string, now time.Time) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.steps)
	r.steps = append(r.steps, ActiveStep{Text: text, From: now.Sub(r.start).Seconds()})
	return func() {
		at := time.Since(r.start).Seconds()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.steps[i].To = at
	}
}

// nextFlowNumber returns the number of the flow that is dialed next.
func (r *recorder) nextFlowNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flowCount++
	return r.flowCount
}

// addBroken counts a broken flow, and completes its description with its times and with the
// steps that were active.
func (r *recorder) addBroken(b *BrokenFlow, opened time.Time, t standin.CallerTraffic, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := func(t time.Time) float64 {
		if t.IsZero() {
			return 0
		}
		return t.Sub(r.start).Seconds()
	}
	b.OpenedAt, b.BrokeAt = since(opened), since(now)
	b.LastSentAt, b.LastReceivedAt = since(t.LastSent), since(t.LastReceived)
	for _, s := range r.steps {
		if s.From <= b.BrokeAt && (s.To == 0 || s.To >= b.OpenedAt) {
			b.Steps = append(b.Steps, s)
		}
	}
	r.r.BrokenFlows++
	r.r.BrokenFlowDetails = append(r.r.BrokenFlowDetails, *b)
}

// describeBroken adds the flow to the report's broken flows and logs it.
func (f *flow) describeBroken(err error, during string) {
	b := BrokenFlow{
		Number: f.number, ID: f.id, SharedPort: f.socket == nil, Service: f.name(), During: during, Error: err.Error(),
	}
	var t standin.CallerTraffic
	if a, ok := f.tr.Conn.LocalAddr().(*net.UDPAddr); ok {
		b.Caller = a.String()
		t, _ = f.s.Fabric.Traffic(f.s.ServiceAddress(f.service), a.AddrPort())
	}
	now := time.Now() // after the traffic was read, as the caller's connection may still be sending
	b.PeerAddress = addressText(t.Address)
	b.LastSentTo, b.LastReceivedFrom = addressText(t.SentTo), addressText(t.ReceivedFrom)
	b.Sent, b.Received = t.Sent, t.Received
	if p := f.agentID.Load(); p != nil {
		b.Agent = *p
	}
	b.HeldBy = f.s.agentsHolding(b.PeerAddress)
	f.rec.addBroken(&b, f.opened, t, now)
	f.s.log.Error("flow broke", "flow", b)
}

// addressText returns the address, or "" if there is none.
func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// agentsHolding returns the IDs of the running agents that hold a flow of the address.
func (s *Site) agentsHolding(peerAddress string) (ids []string) {
	for _, u := range s.RunningUpstreams() {
		if slices.Contains(u.agent.FlowAddresses(), peerAddress) {
			ids = append(ids, string(u.agent.Node.Self().ID))
		}
	}
	return ids
}
