package datagram

import (
	"maps"
	"math"
	"slices"
	"time"

	"pomeloway.example/pomeloway/admission"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/servicetime"
)

// AgentOutput sends an agent's packets and messages. The agent may reuse a buffer as soon
// as the call returns.
type AgentOutput interface {
	ToProcess(ip IP, m []byte)
	ToCaller(ip IP, p []byte)
	// ToUpstream sends a packet to the agent's own upstream.
	ToUpstream(p []byte)
}

// Agent forwards packets between balancers, callers and one upstream, and is the only
// process that sends packets to that upstream. It alone admits openings, because it learns
// first of everything that can forbid one. The upstream is authoritative for established
// flows.
type Agent struct {
	Life    Life
	Service ServiceKey
	Zone    ZoneKey
	Format  Format
	Out     AgentOutput
	Keys    link.Keys
	Log     *Log
	Count   AgentCounts
	// Observe, if not nil, receives the measured durations.
	Observe observer
	// BusyAt is the number of requests per slot from which the upstream counts as busy, so
	// that openings prefer other agents; 0 means busyAt, a negative value never.
	BusyAt float64
	// Admission selects what happens to openings at overload.
	Admission Admission
	// Evacuation is the time after which nothing more may be sent to an evacuated
	// availability zone, that is, one that operators took out of service; 0 means
	// defaultEvacuation.
	Evacuation time.Duration
	// Heartbeat is the time between two announcements of the upstream.
	Heartbeat HeartbeatInterval
	// FlowLifetime is the longest lifetime of a flow. It may change while the agent runs.
	FlowLifetime FlowLifetime
	// Probe, if not nil, starts a connection attempt to the upstream's address; its result
	// is passed to HandleProbeResult. It must not block.
	Probe func()
	// OnDrain, if not nil, is called when the upstream starts draining, so that this can be
	// recorded for a later run of the agent. It must not block.
	OnDrain func()
	// OnServe, if not nil, is called before a run of the upstream gets its first flow, so that this can
	// be recorded for a later run of the agent. HandleRunRecorded has to be called when it is. It must
	// not block.
	OnServe func(UpstreamRun)
	// Seeds are balancers that the settings name. They are contacted whenever no balancer is heard.
	Seeds []IP
	// OnRecordInDoubt, if not nil, is called when the agent's record may have been removed, so that it
	// can be written again. It must not block.
	OnRecordInDoubt func()

	upstream          upstream
	balancers         map[IP]*balancerView
	heardAt           time.Duration // when a balancer's status arrived last; 0: never
	recordCheckAt     time.Duration // when the record is checked next while no balancer is heard
	recordDelay       time.Duration // from the last check to that one; 0: a balancer is heard
	homes             homeSet
	known             homeSet       // cache of knownBalancers
	homesUpdateAt     time.Duration // when homes is updated; 0: not scheduled
	homesSendAt       time.Duration // when all balancers are sent the new set; 0: not scheduled
	homesSendDeadline time.Duration // the time past which that is not postponed
	previousHomes     []previousHomeSet
	// homesSendsLeft is how many more times all balancers are sent the set.
	homesSendsLeft   int
	zoneOut          bool
	zoneOutSince     time.Duration
	zoneReturnedAt   time.Duration // when its last evacuation ended; 0: it was not evacuated
	revision         uint64
	version          Version
	leaving          bool
	flows            table[*flowState]
	droppedUse       time.Duration // until when flows may have been in use that were dropped and had not ended; 0: none
	openFlows        int
	requests         requests
	speedLogged      servicetime.Estimate // the last that was logged, and when
	speedLoggedAt    time.Duration
	failures         failures
	expectedRequests expectedRequests
	controller       admission.Controller
	levelUpdatedAt   time.Duration
	urgentAt         time.Duration       // when the last urgent opening arrived; 0: never
	ordinaryAt       time.Duration       // when the last opening or request that is not urgent arrived
	held             []heldOpening       // the oldest first
	kept             []keptRequest       // the oldest first
	targets          map[Endpoint]Budget // target latencies of routes, as far as they are known
	lastRecount      time.Duration
	probing          bool
	lastProbe        time.Duration // when the last probe began; 0: never
	recorded         recordedState
	served           runRecord
	pending          [maxPending]pending
	bouncesAwaited   []awaitedBounce // the oldest first
	lastScratch      uint32
	sequence         uint32
	epoch            uint32 // the last that was started for any balancer
	lastStatus       time.Duration
	agentCount       int    // agents in the fleet, as reported by balancers
	nearDigest       uint64 // digest of the near balancers, which receive statuses often
	scratch          [2048]byte
}

// AgentCounts counts an agent's decisions.
type AgentCounts struct {
	Taken, Declined, Bounced, Established, Resets uint64
	NotMine, Mine, Packets, Answers, Dropped      uint64
	BadMessages, BadPackets, BadAnnouncements     uint64
	// Rejected is the number of requests that the upstream rejected because its queue was
	// full, Held the number of openings that waited for a place at the upstream, Kept
	// that of requests on open flows that did.
	Rejected, Held, Kept uint64
	// Broken is the number of flows that the upstream reset during a request.
	Broken uint64
	// Forgotten is the number of flows that had not ended and were dropped because they were not
	// used for the lifetime of a flow, or because there were too many.
	Forgotten uint64
	// OtherRuns is the number of announcements that were not acknowledged, because they were taken
	// for late ones of earlier runs of the upstream.
	OtherRuns uint64
	// SpeedChanges is the number of changes of the upstream's service time.
	SpeedChanges uint64
}

type balancerView struct {
	life               Life
	zone               ZoneKey // 0: not known
	lastSeen, lastSent time.Duration
	// expectedInterval is the time within which the balancer expects the next status.
	expectedInterval time.Duration
	agentCount       int    // how many agents the balancer knows
	homes            uint64 // digest of its home set
	// homesDifferSince is when its home set began to differ from the agent's. 0 means that it
	// does not.
	homesDifferSince time.Duration
	bitmapDue        bool // the next status carries the agent's home set as a bitmap
	// entries is the number of flows registered at it in the current epoch. resendEntries
	// starts a new epoch.
	epoch, entries uint32
}

const (
	// maxPending exceeds the number of packets that an upstream can hold unread.
	maxPending = 4096
	// maxFlows bounds an agent's memory.
	maxFlows = 100_000
	// recountInterval bounds how long a wrong count lasts.
	recountInterval = time.Second
	// maxRequestDuration exceeds the longest deadline of a request that takes a slot; the
	// caller of an older request has given up.
	maxRequestDuration = 10 * time.Second
)

// Start initializes the agent. Its exported fields must be set before.
func (a *Agent) Start() {
	a.balancers = map[IP]*balancerView{}
	a.targets = map[Endpoint]Budget{}
	a.flows = newTable[*flowState](maxFlows)
}

// AddBalancer adds a balancer unless it is already known, and sends it the agent's status.
func (a *Agent) AddBalancer(ip IP, now time.Duration) {
	if _, known := a.balancers[ip]; known || ip == 0 {
		return
	}
	a.balancers[ip] = &balancerView{lastSeen: now}
	a.sendInitialStatus(ip, now)
}

// sendInitialStatus sends the status to a balancer that does not know the agent yet. It
// announces a next status within initialStatusInterval; that one carries the regular
// interval.
func (a *Agent) sendInitialStatus(ip IP, now time.Duration) {
	b := a.balancers[ip]
	b.lastSent, b.expectedInterval = now, LargeFleetInterval
	a.Out.ToProcess(ip, a.statusMessage(b, now, initialStatusInterval, true))
}

// HandleAnnouncement processes an announcement of the upstream and reports whether it may
// be acknowledged. Once a draining upstream has the acknowledgement, it receives no further
// opening, so one that is taken for a late one of an earlier run is not acknowledged.
func (a *Agent) HandleAnnouncement(n *Announcement, now time.Duration) bool {
	if n.Service != a.Service {
		a.Count.BadAnnouncements++
		return false
	}
	previous, since, run := a.upstream.state, a.upstream.runKnownSince(n, now), a.upstream.born
	fresh, reborn := a.upstream.apply(n, a.Heartbeat, now)
	if !fresh && n.Born != a.upstream.born {
		a.Count.OtherRuns++
		return false
	}
	if !fresh {
		return true
	}
	if reborn {
		before := since - a.Heartbeat.startDelay(n.Age)
		if a.isRecorded() {
			before = -1 // it started before this agent, so the run before it was heard late and no flow has ended
		}
		a.endFlows(before, now)
	}
	if a.upstream.born != run {
		a.applyRunRecord()
		a.recordRun(now)
	}
	if a.upstream.state != previous || reborn {
		a.Log.upstreamChanged(&a.upstream, reborn)
		a.broadcastStatus(now)
	}
	if a.upstream.state == UpstreamDraining && previous != UpstreamDraining && a.OnDrain != nil {
		a.OnDrain()
	}
	return true
}

// Deregister notes that a run of the upstream is about to exit. A late deregistration of an earlier run
// under the same ID is ignored, if it tells when that run started.
//
// If the run may have ended before the agent started, the current one may hold flows. The upstream then gets
// no openings, like one that drains, until a connection to it is refused or another run announces itself.
func (a *Agent) Deregister(r UpstreamRun, now time.Duration) {
	u := &a.upstream
	if r.ID != u.id || r.Born != 0 && r.Born != u.born {
		return
	}
	if u.deregistered = true; !a.mayBeLate() {
		u.state = UpstreamGone
	} else {
		u.state = UpstreamDraining
	}
	a.Log.upstreamChanged(u, false)
	a.broadcastStatus(now)
}

// Leave announces that the agent is about to stop.
func (a *Agent) Leave(now time.Duration) {
	a.leaving = true
	a.broadcastStatus(now)
}

// UpstreamState returns the last known state of the upstream.
func (a *Agent) UpstreamState() UpstreamState { return a.upstream.state }

// HandleMessage processes a message from a balancer.
func (a *Agent) HandleMessage(from IP, m []byte, now time.Duration) {
	var h Message
	p, ok := h.Get(m, a.Keys)
	if !ok || from == 0 {
		a.Count.BadMessages++
		return
	}
	switch h.Kind {
	case KindOpening:
		a.handleOpening(from, h, p, now)
	case KindPacket:
		a.handlePacket(from, h, m, now)
	case KindBalancer:
		a.handleBalancerStatus(from, h.Zone, p, now)
	case KindResend:
		a.AddBalancer(from, now)
		a.resendEntries(from)
		a.sendInitialStatus(from, now)
		if h.Flags.has(FlagRecordMissing) {
			a.checkRecord()
		}
	}
}

func (a *Agent) handleBalancerStatus(from IP, zone ZoneKey, p []byte, now time.Duration) {
	var s BalancerStatus
	if !s.decode(p) {
		a.Count.BadMessages++
		return
	}
	a.noteHeard(now)
	a.AddBalancer(from, now)
	b := a.balancers[from]
	b.zone = zone
	if b.lastSeen = now; b.life != s.Life {
		// The balancer has just started and knows no agent. Until the next status it could
		// not route to this agent, nor report that a flow is gone.
		b.life, b.homesDifferSince = s.Life, 0
		a.resendEntries(from)
		if slices.Contains(a.homes.ips, from) {
			a.sendInitialStatus(from, now)
		} else if a.homesUpdateAt == 0 {
			// The update sends it the status, with a home set that contains it.
			a.homesUpdateAt = now + homesUpdateDelay
		}
	}
	b.agentCount = int(s.Agents)
	a.agentCount = max(a.agentCount, b.agentCount)
	for _, ip := range s.Balancers {
		a.AddBalancer(ip, now)
	}
	b.homes = s.Homes
	a.answerMismatch(from, now)
	a.version = max(a.version, s.Version)
	a.setZonesOut(s.Zones, s.Revision, now)
}

// answerMismatch sends a balancer the agent's home set as a bitmap if the balancer's own set has
// differed from it for mismatchDelay. The sets of processes that start together differ only for a
// moment. A balancer of an earlier build, which can't read a bitmap, does not tell its zone.
func (a *Agent) answerMismatch(to IP, now time.Duration) {
	b := a.balancers[to]
	switch {
	case b.homes == a.homes.digest:
		b.homesDifferSince = 0
	case b.homesDifferSince == 0:
		b.homesDifferSince = now
	case now-b.homesDifferSince >= mismatchDelay && len(a.homes.ips) > maxHomesListed && b.zone != 0:
		b.bitmapDue = true
		a.sendInitialStatus(to, now)
	}
}

// Tick does the work that is due and returns when it must be called again.
func (a *Agent) Tick(now time.Duration) time.Duration {
	a.expireFlows(now)
	a.stopAwaitingRunRecord(now)
	a.probe(now)
	a.updateLevel(now)
	a.reportNotBounced(now)
	a.releaseHeld(now)
	a.releaseKept(now)
	if now-a.lastRecount >= recountInterval {
		a.lastRecount = now
		a.recount(now)
		a.refreshEntries(now)
	}
	if a.homesUpdateAt != 0 && now >= a.homesUpdateAt {
		a.updateHomes(now)
	}
	if a.homesSendAt != 0 && now >= a.homesSendAt {
		a.homesSendAt = 0
		if a.homesSendsLeft--; a.homesSendsLeft > 0 {
			a.homesSendAt = now + homesSendDelay
		}
		a.broadcastStatus(now)
	}
	if now-a.lastStatus >= StatusInterval {
		a.updateAgentCount()
		a.sendDueStatuses(now, nearInterval(a.agentCount, len(a.balancers)), farInterval(a.agentCount))
		a.expireBalancers(now)
		a.findBalancers(now)
		a.updateHomes(now)
		a.expirePreviousHomes(now)
	}
	at := min(a.lastStatus+StatusInterval, a.nextProbe(), a.nextHeld())
	if len(a.bouncesAwaited) > 0 {
		at = min(at, a.bouncesAwaited[0].since+bounceTimeout)
	}
	for _, due := range []time.Duration{a.homesUpdateAt, a.homesSendAt} {
		if due != 0 {
			at = min(at, due)
		}
	}
	return at
}

// updateAgentCount recomputes the fleet size as the largest count that any balancer
// reports, because balancers that have just started know fewer agents.
func (a *Agent) updateAgentCount() {
	a.agentCount = 0
	for _, b := range a.balancers {
		a.agentCount = max(a.agentCount, b.agentCount)
	}
}

// broadcastStatus sends the agent's status to all balancers after a change.
func (a *Agent) broadcastStatus(now time.Duration) { a.sendDueStatuses(now, 0, 0) }

// sendDueStatuses sends the status to each balancer whose last status is older than
// nearAfter or farAfter, depending on whether the balancer is near, or than the interval
// that was announced to it. Without the latter, a balancer that has just become far would
// consider the agent silent until its next status is due as a far one.
func (a *Agent) sendDueStatuses(now, nearAfter, farAfter time.Duration) {
	a.lastStatus = now
	nearby := nearMembers(uint64(a.Life), slices.Collect(maps.Keys(a.balancers)),
		nearBalancerCount(a.agentCount, len(a.balancers)), a.Zone, a.zoneOf)
	if d := digestOf(nearby); d != a.nearDigest {
		a.nearDigest = d
		a.Log.nearChanged(len(nearby), len(a.balancers), a.agentCount)
	}
	for ip, b := range a.balancers {
		after, interval := farAfter, farInterval(a.agentCount)
		if contains(nearby, ip) {
			after, interval = nearAfter, nearInterval(a.agentCount, len(a.balancers))
		}
		if b.life == 0 {
			after = min(after, StatusInterval) // it has not answered, or has not started yet
		}
		if now-b.lastSent >= min(after, b.expectedInterval) {
			b.lastSent, b.expectedInterval = now, interval
			a.Out.ToProcess(ip, a.statusMessage(b, now, interval, len(a.previousHomes) > 0))
		}
	}
}

// statusMessage returns the status for one balancer and announces the next one within
// interval. If withHomes is set and the home set is small enough, the message also lists it.
func (a *Agent) statusMessage(b *balancerView, now, interval time.Duration, withHomes bool) []byte {
	a.sequence++
	s := AgentStatus{
		Life: a.Life, Sequence: a.sequence, Uptime: MillisOf(now), Service: a.Service, Zone: a.Zone,
		Interval: MillisOf(interval), State: a.upstream.state, Leaving: a.leaving, Slots: uint16(a.upstream.slots),
		Flows: uint16(max(0, min(a.openFlows, 1<<16-1))), UnderWay: uint16(min(a.requests.count(), math.MaxUint16)),
		Homes: a.homes.digest, Epoch: b.epoch, Entries: b.entries, KnowsAll: a.knowsAllFlows(now),
		Balancers: uint16(min(len(a.balancers), math.MaxUint16)),
	}
	if s.State == UpstreamReady && a.upstream.isSilent(now) {
		s.State = UpstreamSilent
	}
	if now < a.upstream.coldUntil {
		s.ColdRemaining = MillisOf(a.upstream.coldUntil - now)
	}
	m := s.append(a.scratch[:HeaderLen])
	switch {
	case b.bitmapDue:
		b.bitmapDue = false
		m = a.homes.appendBitmap(append(m, 0), a.knownBalancers())
	case withHomes && len(a.homes.ips) <= maxHomesListed:
		m = appendIPs(append(m, byte(len(a.homes.ips))), a.homes.ips)
	}
	h := Message{Kind: KindAgent, Flags: FlagReserveHomes, Service: a.Service, Report: a.loadReport(now)}
	if a.runRecordPending(now) {
		h.Flags |= FlagRunRecordPending
	}
	h.Put(m, a.Keys[0])
	return m
}
