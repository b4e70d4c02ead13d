package datagram

import (
	"slices"
	"time"

	"pomeloway.example/pomeloway/link"
)

// BalancerOutput sends a balancer's packets and messages. The balancer may reuse a buffer
// as soon as the call returns.
type BalancerOutput interface {
	// ToProcess sends a message to the agent or balancer at the address.
	ToProcess(ip IP, m []byte)
	// ToCaller sends a packet to the caller's address.
	ToCaller(ip IP, p []byte)
}

// Balancer distributes callers' datagrams over agents. It keeps flows only as a cache;
// whatever it loses can be recovered from the agents and their upstreams.
type Balancer struct {
	Self   IP
	Life   Life
	Zone   ZoneKey
	Format Format
	Out    BalancerOutput
	Keys   link.Keys
	Log    *Log
	Count  BalancerCounts
	// Placement is the algorithm that chooses among equally suitable agents.
	Placement Placement
	// Admission selects what happens to openings at overload.
	Admission Admission
	// AccountPrefix is the length of the address prefix that callers of one account share, 0 or
	// 32 if each address is an account of its own.
	AccountPrefix uint8
	// Clock returns the time since the Unix epoch, by which the order of admission rotates. If
	// it is nil, the time since the start of the process is used.
	Clock func() time.Duration
	// Observe, if not nil, receives the measured durations.
	Observe observer
	// LookupRate limits the messages per second that lookups send; 0 means the default.
	LookupRate float64
	// FlowLifetime is the longest lifetime of a flow. It may change while the balancer runs.
	FlowLifetime FlowLifetime
	// Bandwidth of the VM's link in Mbit/s, which bounds the uploads that pass through at the
	// same time; 0 means that it is not known.
	Bandwidth float64
	// OnNewerConfiguration is called when another process has a newer configuration.
	OnNewerConfiguration func(from IP, v Version)
	// OnRecordInDoubt, if not nil, is called when the balancer's record is missing in the store. It
	// must not block.
	OnRecordInDoubt func()

	config          *Configuration
	former          formerRoutes
	routeRecordSeen RouteRecord // that was read or written last
	routeRecordRead bool        // it was read, or there is none
	// routeRecordChangedAt is when it changed last. 0 means never.
	routeRecordChangedAt time.Duration
	zonesOut             map[ZoneKey]bool
	revision             uint64
	leaving              bool
	detached             bool // the store does not answer this balancer
	watching             bool // this balancer is one of those that watch the store
	watcherSeen          watcherSighting
	membersRead          bool               // the member records were read since this process started
	marks                map[IP]*recordMark // of the records of silent members
	unrecorded           map[IP]bool        // members that were heard and had no record when the records were last read
	// droppedPeers are the recorded balancers that were dropped, with the time of their last activity.
	droppedPeers      map[IP]time.Duration
	droppedPeerCursor int
	suspects          int           // number of suspected agents when verifySuspects ran last
	lastAgentMessage  time.Duration // when the last message of any agent arrived
	// lastIsolated is when it was last isolated, or resumed after a pause. 0 means never.
	lastIsolated time.Duration
	// lastActive is when this process last did something, resumed when it last resumed
	// after a pause.
	lastActive, resumed time.Duration
	lastCutOffCheck     time.Duration
	cutOffFound         bool // result of the last check whether it is cut off
	agents              agents
	peers               map[IP]*peerView
	peerCursor          int // position in the sorted peers from which the next status lists them
	flows               table[flowLocation]
	openings            openings
	early               earlyOpenings
	admissions          map[ServiceKey]*serviceAdmission
	transfers           transfers
	homes               homeSet
	known               homeSet // cache of knownBalancers
	lastHomesRead       homeSet // the home set of an agent that was read last
	directory           directory
	lookups             lookups
	lost                lostFlows
	lastStatus          time.Duration
	scratch             [2048]byte
}

// BalancerCounts counts a balancer's decisions.
type BalancerCounts struct {
	Openings, Opened, Refused, Unanswered, Resets, NoRoute, NoAgent uint64
	Packets, Lookups, Asked, NotFound, Cut, BadMessages, BadPackets uint64
	// PlacedByTime is the number of openings whose agents were chosen by expected time, Trickle
	// the number of those that were placed by count at such a service, so that the speeds of
	// all its upstreams stay known.
	PlacedByTime, Trickle uint64
	// Entries is the number of flows registered at this home, Resends the number of
	// requests to register them again, Located the number of lookups answered for other
	// balancers.
	Entries, Resends, Located uint64
	// UnreadHomes is the number of home sets of agents that could not be read, because the agent
	// knows other balancers than this one.
	UnreadHomes uint64
	// NotAdmitted is the number of openings that their service's level did not admit.
	NotAdmitted uint64
	// LostFlows is the number of flows that were reset because their agent and upstream had
	// started anew without them, LostAsked how often another home was asked about one, and
	// LostQuestions the number of messages with these questions.
	LostFlows, LostAsked, LostQuestions uint64
	// Limited is the number of openings of accounts beyond their fair share.
	Limited uint64
}

// flowLocation is the agent that holds a flow, or the attempt to open it.
type flowLocation struct {
	agent   IP     // 0: unknown
	opening uint32 // 0: the flow is open
	lastSeq uint32 // sequence number of the caller's latest data
	// openingSeq is the sequence number of the opening that made the flow; 0: not known.
	openingSeq uint32
}

// maxLocations bounds a balancer's memory; every flow beyond it costs a lookup.
const maxLocations = 200_000

// Start initializes the balancer. Its exported fields must be set before.
func (b *Balancer) Start() {
	b.zonesOut = map[ZoneKey]bool{}
	b.agents = newAgents()
	b.agents.placement, b.agents.zone, b.agents.zonesOut = b.Placement, b.Zone, b.zonesOut
	b.agents.expected, b.agents.counts, b.agents.log = b.Observe, &b.Count, b.Log
	b.peers = map[IP]*peerView{}
	b.flows = newTable[flowLocation](maxLocations)
	b.admissions = map[ServiceKey]*serviceAdmission{}
	b.openings, b.transfers = newOpenings(), newTransfers(b.Bandwidth)
	b.homes = newHomeSet([]IP{b.Self}, b.zoneOf)
	b.directory = newDirectory()
	if b.LookupRate == 0 {
		b.LookupRate = defaultLookupRate
	}
	b.lookups.byFlow = map[Flow]*lookup{}
	b.lookups.budget.fill(b.LookupRate)
	b.lost.budget.fill(lostFlowsShare * b.LookupRate)
}

// ConfigurationVersion returns the version of the current configuration, or 0 if there is
// none.
func (b *Balancer) ConfigurationVersion() Version {
	if b.config == nil {
		return 0
	}
	return b.config.Version
}

// SetConfiguration applies the configuration unless the current one is newer, and reports
// whether it did.
//
// A store read that is answered late, or by a store that lags behind, returns an older
// configuration. It is recognized by its lower version, because versions only grow.
func (b *Balancer) SetConfiguration(c *Configuration) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.noteConfigurationChange(b.config, c)
	b.config = c
	b.agents.setTimed(c)
	return true
}

// SetZonesOut applies the evacuated availability zones of a revision unless a later
// revision is known, and reports whether they changed.
func (b *Balancer) SetZonesOut(zs []ZoneKey, revision uint64, now time.Duration) bool {
	if revision <= b.revision {
		return false
	}
	b.revision = revision
	changed := len(zs) != len(b.zonesOut) || slices.ContainsFunc(zs, func(z ZoneKey) bool { return !b.zonesOut[z] })
	if !changed {
		return false
	}
	clear(b.zonesOut)
	for _, z := range zs {
		b.zonesOut[z] = true
	}
	b.broadcastStatus(now)
	return true
}

// ZonesRevision returns the revision of the store as of which the evacuated availability zones
// are known, or 0 if they are not.
func (b *Balancer) ZonesRevision() uint64 { return b.revision }

// SetMembers applies the recorded members. membersRead is true if they were read since this
// process started, rather than up to some seconds before.
func (b *Balancer) SetMembers(ms []Member, membersRead bool, now time.Duration) {
	b.membersRead = b.membersRead || membersRead
	b.agents.applyRecords(ms, now)
	b.agents.expire(b.FlowLifetime, now)
	b.forgetUnrecordedPeers(ms)
	for _, m := range ms {
		if _, lost := b.droppedPeers[m.IP]; !m.Agent && !lost {
			b.discoverPeer(m.IP, now)
			if p := b.peers[m.IP]; p != nil && p.zone == 0 {
				b.setZone(p, m.Zone)
			}
		}
	}
	b.sendStatusToNew(now)
}

// Leave announces that the balancer is about to stop.
func (b *Balancer) Leave(now time.Duration) {
	b.leaving = true
	b.broadcastStatus(now)
}

// Ready reports whether the balancer can serve callers.
func (b *Balancer) Ready() bool {
	return !b.leaving && b.config != nil && len(b.agents.byIP) > 0 && !b.cutOffFound
}

// HandleCaller processes the datagram at m[HeaderLen:], which a caller sent.
func (b *Balancer) HandleCaller(m []byte, now time.Duration) {
	b.detectPause(now)
	p, ok := b.Format.Parse(m[HeaderLen:])
	if !ok || p.Bounced {
		b.Count.BadPackets++
		return
	}
	if p.Open && !p.Ack {
		b.handleOpening(m, p, now)
		return
	}
	b.Count.Packets++
	at, _ := b.flows.get(p.Flow)
	if ip := b.agentFor(at); ip != 0 {
		b.send(m, Message{Kind: KindPacket}, ip)
		if !b.needsLookup(p, at, ip, now) {
			return
		}
	}
	b.lookUp(m, p, 0, now)
}

// needsLookup reports whether the caller retransmits on a flow whose agent is not
// reachable, so that the flow must be looked up. If only the packets from the agent to this
// balancer are lost, the caller still receives answers and does not retransmit.
func (b *Balancer) needsLookup(p Packet, at flowLocation, ip IP, now time.Duration) bool {
	if p.Length == 0 {
		return false
	}
	b.transfers.note(p, at.lastSeq, now)
	if at.lastSeq != p.Seq {
		at.lastSeq = p.Seq
		b.flows.set(p.Flow, at)
		return false
	}
	a := b.agents.byIP[ip]
	return a == nil || !a.reachable(now)
}

// handleReturned processes a packet that was returned by the agent at which its flow was
// cached.
func (b *Balancer) handleReturned(from IP, m []byte, h Message, now time.Duration) {
	p, ok := b.Format.Parse(m[HeaderLen:])
	if !ok {
		b.Count.BadPackets++
		return
	}
	if at, ok := b.flows.get(p.Flow); ok && at.opening == 0 && at.agent == from {
		b.flows.remove(p.Flow)
	}
	if h.Flags.has(FlagUnsure) {
		from = 0 // the agent can't tell whether the flow is gone
	}
	b.lookUp(m, p, from, now)
	if l := b.lookups.byFlow[p.Flow]; l != nil {
		l.flags |= h.Flags & FlagKnownOnly
	}
}

// agentFor returns the agent that holds the flow or is being asked to open it, or 0 if
// there is none. The second case matters because a caller's first packet can overtake the
// agent's message that the flow is open.
func (b *Balancer) agentFor(at flowLocation) IP {
	if at.opening == 0 {
		return at.agent
	}
	if o := b.openings.get(at.opening); o != nil {
		return o.agent
	}
	return 0
}

func (b *Balancer) send(m []byte, h Message, to IP) {
	h.Put(m, b.Keys[0])
	b.Out.ToProcess(to, m)
}

// HandleMessage processes a message from an agent or another balancer.
func (b *Balancer) HandleMessage(from IP, m []byte, now time.Duration) {
	var h Message
	p, ok := h.Get(m, b.Keys)
	if !ok || from == 0 || from == b.Self {
		b.Count.BadMessages++
		return
	}
	b.detectPause(now)
	if h.Kind.isFromAgent() {
		b.lastAgentMessage = now
	} else if p := b.peers[from]; p != nil {
		p.unanswered = false
	}
	switch h.Kind {
	case KindAgent:
		b.handleAgentStatus(from, h, p, now)
	case KindBalancer:
		b.handleBalancerStatus(from, h.Zone, p, now)
	case KindSilent:
		b.handleSilent(p, now)
	case KindOpened:
		b.handleOpened(from, h, p, now)
	case KindRefused:
		b.handleRefused(from, h, p, now)
	case KindHeld:
		if f, ok := decodeFlow(p); ok {
			b.handleHeld(from, f, now)
		}
	case KindReturned:
		b.handleReturned(from, m, h, now)
	case KindNotHeld:
		b.handleNotHeld(from, h, p, now)
	case KindEntries:
		b.handleEntries(from, h.Opening, p, now)
	case KindLocate:
		b.handleLocate(from, p, now)
	case KindLocated:
		b.handleLocated(from, h, p, now)
	case KindRoutes:
		b.handleFormerRoutes(p, now)
	case KindResend:
		if h.Flags.has(FlagRecordMissing) && b.OnRecordInDoubt != nil {
			b.OnRecordInDoubt()
		}
	}
}

// Tick does the work that is due and returns when it must be called again.
func (b *Balancer) Tick(now time.Duration) time.Duration {
	b.detectPause(now)
	b.checkCutOff(now)
	b.handleEarlyOpenings(now)
	b.retryExpired(now)
	b.admitUploads(now)
	b.runLookups(now)
	b.runLostFlows(now)
	b.flows.rotate(b.FlowLifetime.limit(), now)
	b.directory.expire(now)
	if now-b.lastStatus >= StatusInterval {
		b.suspectSilent(now)
		b.verifySuspects(now)
		b.sendPeriodicStatus(now)
		b.sendStatusToNew(now)
		b.agents.expire(b.FlowLifetime, now)
		b.forgetTrackers()
		b.requestMissing(now)
		b.resolveMismatches(now)
		b.expirePeers(now)
		b.contactDroppedPeers(now)
		b.updateHomes(now)
		b.updateWatching(now)
	}
	at := min(b.openings.nextDeadline(), b.lastStatus+StatusInterval)
	if len(b.lookups.queue) > 0 {
		at = min(at, b.lookups.next)
	}
	if !b.lost.isIdle() {
		at = min(at, b.lost.next)
	}
	return at
}
