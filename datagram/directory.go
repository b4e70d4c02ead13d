package datagram

import (
	"encoding/binary"
	"slices"
	"time"
)

// The directory of a home records which agents hold the flows that it is a home of. Each
// agent numbers the entries that it sends to a home, and its statuses carry their count, so
// the home detects lost entries and requests all of them again. A home that has every entry
// of every agent can also tell that a flow is gone.

const (
	// directoryInterval is longer than the interval at which agents repeat their entries.
	directoryInterval = refreshInterval + time.Minute
	// maxDirectoryFlows bounds the memory of a directory.
	maxDirectoryFlows = 400_000
	// resendInterval is the minimum interval between requests to one agent to resend its
	// entries.
	resendInterval = 300 * time.Millisecond
	// repairShare bounds these requests, as a share of the lookups' rate.
	repairShare = 0.1
	// coverageInterval is the minimum interval between computations of the coverage, each
	// of which visits all agents.
	coverageInterval = 10 * time.Millisecond
	// maxUncovered bounds the agents that a lookup has to ask itself.
	maxUncovered = 16
)

// directory is what a home knows about the locations of flows.
type directory struct {
	flows    table[entry]
	trackers map[IP]*entryTracker
	// droppedAt is when entries were last removed because the table was full. 0 means never.
	droppedAt time.Duration
	coverage  coverage
	// gapLoggedAt is when a gap was last logged. 0 means never.
	gapLoggedAt time.Duration
}

// coverage describes the flows for which a directory knows every agent that holds them.
type coverage struct {
	computedAt time.Duration // when it was computed
	complete   bool
	// uncovered are the agents that do not know all flows of their upstreams, because they
	// started after them. They have to be asked directly. homeSets are the sets from which
	// the other agents choose homes.
	uncovered []IP
	homeSets  []homeSet
	// reserves is set if all of these agents register their flows at reserve homes too.
	reserves bool
	// gap is why the directory may be incomplete, and gapAgent the first agent found for which
	// that holds.
	gap      coverageGap
	gapAgent IP
}

// coverageGap is why a directory may lack flows.
type coverageGap uint8

const (
	gapNone coverageGap = iota
	gapMembersNotRead
	gapCutOff
	gapEntriesDropped
	gapAgentSilent
	gapManyUncovered
	gapHomesUnread
	gapEntriesMissing
	gapManyHomeSets
	gapMostSilent
	gapEnd
)

var coverageGapNames = [gapEnd]string{
	"", "membersNotRead", "cutOff", "entriesDropped", "agentSilent", "manyUncovered", "homesUnread", "entriesMissing",
	"manyHomeSets", "mostSilent",
}

// covers reports whether the home would know the flow if any agent held it, other than the
// uncovered ones.
func (c *coverage) covers(f Flow, home IP) bool {
	if !c.complete {
		return false
	}
	for i := range c.homeSets {
		r := c.homeSets[i].registration(f)
		if at := r.index(home); at < 0 || at >= firstReserve && !c.reserves {
			return false
		}
	}
	return true
}

func newDirectory() directory {
	return directory{flows: newTable[entry](maxDirectoryFlows), trackers: map[IP]*entryTracker{}}
}

// expire drops entries that agents did not repeat.
func (d *directory) expire(now time.Duration) {
	early := now-d.flows.rotatedAt < directoryInterval
	if dropped, _ := d.flows.rotate(directoryInterval, now); len(dropped) > 0 && early {
		d.droppedAt = now
	}
}

// entryTracker tracks which entries of an agent this home has received.
type entryTracker struct {
	life       Life
	epoch      uint32
	next       uint32 // the number below which all entries have arrived
	ahead      uint64 // bit mask of the 64 entries from next on that have arrived
	lastResend time.Duration
	// missingSince is when a status arrived of which entries are missing. 0 means that none are.
	missingSince time.Duration
}

// markReceived records the arrival of an entry. Entries may arrive in any order.
func (l *entryTracker) markReceived(n uint32) {
	if at := n - l.next; at < 64 {
		l.ahead |= 1 << at
	}
	for l.ahead&1 != 0 {
		l.ahead >>= 1
		l.next++
	}
}

// isComplete reports whether all entries have arrived that the agent had sent before it sent
// the status.
func (l *entryTracker) isComplete(s *AgentStatus) bool {
	switch {
	case l == nil, l.life != s.Life:
		return s.Entries == 0
	case l.epoch != s.Epoch:
		return s.Entries == 0 && s.Epoch > l.epoch
	}
	return int32(l.next-s.Entries) >= 0
}

// entriesHeader is the header of a message with entries.
type entriesHeader struct {
	Life  Life
	Epoch uint32
	First uint32
}

const (
	entriesHeaderLen = 8 + 4 + 4
	// maxEntries is how many entries fit into one datagram.
	maxEntries = 100
)

// entry is what a home knows about a flow. All but the holders are of the latest registration.
type entry struct {
	holders
	// number is what the caller had acknowledged or was about to, and 0 if it is not known. A
	// reset has to carry a number that is not far from it.
	number     uint32
	life       lifeTag // the agent's run
	registered Millis  // time of arrival since the start of the process
}

// register updates the entry with a registration. A number of 0 keeps the earlier one.
func (e *entry) register(from IP, l Life, number uint32, now time.Duration) {
	if e.holders[0] != from && number == 0 {
		e.number = 0 // it is another agent's
	}
	e.add(from)
	e.life, e.registered = l.tag(), MillisOf(now)
	if number != 0 {
		e.number = number
	}
}

// handleEntries adds the flows that an agent registers at this home. The number belongs to the
// flow if there is only one.
func (b *Balancer) handleEntries(from IP, number uint32, p []byte, now time.Duration) {
	var h entriesHeader
	if _, err := binary.Decode(p, binary.BigEndian, &h); err != nil || (len(p)-entriesHeaderLen)%flowLen != 0 {
		b.Count.BadMessages++
		return
	}
	if a := b.agents.byIP[from]; a != nil && a.isPreviousLife(h.Life) {
		return
	}
	l := b.directory.trackerFor(from, &h)
	if l == nil {
		return
	}
	n := h.First
	if len(p) != entriesHeaderLen+flowLen {
		number = 0
	}
	for p = p[entriesHeaderLen:]; len(p) > 0; p = p[flowLen:] {
		f, _ := decodeFlow(p)
		x, _ := b.directory.flows.get(f)
		x.register(from, h.Life, number, now)
		b.directory.flows.set(f, x)
		l.markReceived(n)
		n++
		b.Count.Entries++
	}
}

// trackerFor returns the agent's tracker, which it resets if the agent has started a new
// epoch or a new run. It returns nil if the entries are of an earlier epoch.
func (d *directory) trackerFor(from IP, h *entriesHeader) *entryTracker {
	l := d.trackers[from]
	switch {
	case l == nil:
		l = &entryTracker{life: h.Life, epoch: h.Epoch}
		d.trackers[from] = l
	case l.life == h.Life && int32(h.Epoch-l.epoch) < 0:
		return nil
	case l.life != h.Life || l.epoch != h.Epoch:
		l.life, l.epoch, l.next, l.ahead = h.Life, h.Epoch, 0, 0
	}
	return l
}

// checkEntries notes whether entries are missing that the agent had sent before its status.
func (b *Balancer) checkEntries(from IP, s *AgentStatus, now time.Duration) {
	l := b.directory.trackers[from]
	if l.isComplete(s) {
		if l != nil {
			l.missingSince = 0
		}
		return
	}
	if l == nil {
		l = &entryTracker{life: s.Life, epoch: s.Epoch}
		b.directory.trackers[from] = l
	}
	if l.missingSince == 0 {
		l.missingSince = now
	}
}

// repairsPerTick returns how many agents may be asked for what is missing of them in one tick.
func (b *Balancer) repairsPerTick() int {
	return max(1, int(repairShare*b.LookupRate*StatusInterval.Seconds()))
}

// requestMissing requests all entries again from agents of which some have been missing for
// resendInterval; before that they may just be late. It does not wait for another status, which a
// far agent sends after a time that grows with the fleet: one agent of which an entry is missing
// is enough for a home not to be sure of any flow.
func (b *Balancer) requestMissing(now time.Duration) {
	left := b.repairsPerTick()
	for ip, l := range b.directory.trackers {
		a := b.agents.byIP[ip]
		if left == 0 {
			return
		}
		switch {
		case l.missingSince == 0, a == nil, a.holdsNoFlows():
			continue
		case l.isComplete(&a.status):
			l.missingSince = 0
			continue
		case now-l.missingSince < resendInterval, l.lastResend != 0 && now-l.lastResend < resendInterval:
			continue
		}
		left--
		l.lastResend = now
		b.Count.Resends++
		b.Log.entriesMissing(ip, a.status.Life)
		b.send(b.scratch[:HeaderLen], Message{Kind: KindResend}, ip)
	}
}

// coverage returns the coverage of the directory, which is recomputed if it is too old.
func (b *Balancer) coverage(now time.Duration) *coverage {
	d := &b.directory
	c := &d.coverage
	if c.computedAt == 0 || now-c.computedAt >= coverageInterval {
		*c = coverage{computedAt: now, uncovered: c.uncovered[:0], homeSets: c.homeSets[:0], reserves: true}
		switch {
		case !b.membersRead:
			c.gap = gapMembersNotRead
		case b.lostPeers(now):
			c.gap = gapCutOff
		case d.droppedAt != 0 && now-d.droppedAt <= 2*directoryInterval:
			c.gap = gapEntriesDropped
		default:
			b.computeCoverage(c, now)
		}
		if c.complete = c.gap == gapNone; !c.complete {
			c.uncovered = c.uncovered[:0] // incomplete, and so of no use to a lookup
		}
	}
	return c
}

// computeCoverage computes the coverage, up to the first gap. There is one too if this balancer
// reaches fewer than half of the agents: it is then more likely that the balancer is cut off than
// that all of them are dead.
func (b *Balancer) computeCoverage(c *coverage, now time.Duration) {
	d := &b.directory
	unreachable := 0
	for ip, a := range b.agents.byIP {
		if !a.reachable(now) {
			unreachable++
		}
		switch {
		case !a.mayHoldFlows(now):
		case !a.reachable(now), b.silentSinceIsolation(a):
			c.gap, c.gapAgent = gapAgentSilent, ip
			return
		case !a.status.KnowsAll && len(c.uncovered) == maxUncovered:
			c.gap, c.gapAgent = gapManyUncovered, ip
			return
		case !a.status.KnowsAll:
			c.uncovered = append(c.uncovered, ip)
		case !a.knowsHomes(&b.homes):
			c.gap, c.gapAgent = gapHomesUnread, ip
			return
		case !d.trackers[ip].isComplete(&a.status):
			c.gap, c.gapAgent = gapEntriesMissing, ip
			return
		case !c.add(a.homes):
			c.gap, c.gapAgent = gapManyHomeSets, ip
			return
		default:
			c.reserves = c.reserves && a.usesReserveHomes
		}
	}
	if 2*unreachable > len(b.agents.byIP) {
		c.gap = gapMostSilent
	}
}

// maxHomeSets bounds the sets that are checked for each flow. There may be several, as
// agents learn of balancers that start together in different orders.
const maxHomeSets = 64

// add adds a set from which an agent chooses homes, and returns false if there are too many.
func (c *coverage) add(s homeSet) bool {
	if slices.ContainsFunc(c.homeSets, func(o homeSet) bool { return o.digest == s.digest }) {
		return true
	}
	c.homeSets = append(c.homeSets, s)
	return len(c.homeSets) <= maxHomeSets
}

// forgetTrackers drops the trackers of agents that are no longer known.
func (b *Balancer) forgetTrackers() {
	for ip := range b.directory.trackers {
		if b.agents.byIP[ip] == nil {
			delete(b.directory.trackers, ip)
		}
	}
	for ip := range b.lost.lives {
		if b.agents.byIP[ip] == nil {
			b.lost.forget(ip)
		}
	}
}

// locateResult is a home's answer about one flow.
type locateResult struct {
	flow          Flow
	authoritative bool // the home knows every agent that may hold the flow
	holders       []IP
}

const (
	// maxLocateFlows bounds the flows in one request, so that the answer fits one message.
	maxLocateFlows = 40
	// notAuthoritativeBit is set in the number of holders if the home may lack some.
	notAuthoritativeBit = 0x80
)

// handleLocate answers a balancer that asks which agents hold flows.
func (b *Balancer) handleLocate(from IP, p []byte, now time.Duration) {
	if len(p) == 0 || len(p)%flowLen != 0 || len(p) > maxLocateFlows*flowLen {
		b.Count.BadMessages++
		return
	}
	c, p0 := b.coverage(now), p
	b.logGap(c, now)
	m := append(b.scratch[:HeaderLen], byte(len(c.uncovered)))
	m = appendIPs(m, c.uncovered)
	for ; len(p) > 0; p = p[flowLen:] {
		f, _ := decodeFlow(p)
		b.noteOtherHomeAsks(from, f)
		x, _ := b.directory.flows.get(f)
		n := byte(len(x.list()))
		if !c.covers(f, b.Self) {
			n |= notAuthoritativeBit
		}
		m = append(appendFlow(m, f), n)
		m = appendIPs(m, x.list())
	}
	b.Count.Located++
	b.send(m, b.locatedHeader(p0, c.uncovered, now), from)
}

// gapLogInterval bounds the log lines about gaps in the directory.
const gapLogInterval = time.Second

// logGap logs why this home can't tell whether a flow is gone.
func (b *Balancer) logGap(c *coverage, now time.Duration) {
	if c.gap == gapNone || b.directory.gapLoggedAt != 0 && now-b.directory.gapLoggedAt < gapLogInterval {
		return
	}
	b.directory.gapLoggedAt = now
	b.Log.directoryIncomplete(c, len(b.homes.ips), len(b.peers)+1)
}

// locatedHeader returns the header of the answer to a question. If the question is about one flow,
// which is so in lookups, the header says which of the named agents this home hears.
func (b *Balancer) locatedHeader(question []byte, uncovered []IP, now time.Duration) Message {
	h := Message{Kind: KindLocated}
	if len(question) != flowLen {
		return h
	}
	f, _ := decodeFlow(question)
	x, _ := b.directory.flows.get(f)
	h.Requests, h.Opening = uint8(b.heardOf(x.list(), now)), b.heardOf(uncovered, now)
	return h
}

// heardOf returns a bit for each of the first agents, which is set if the agent is reachable.
func (b *Balancer) heardOf(ips []IP, now time.Duration) (bits uint32) {
	for i, ip := range ips[:min(len(ips), maxUncovered)] {
		if a := b.agents.byIP[ip]; a != nil && a.reachable(now) {
			bits |= 1 << i
		}
	}
	return bits
}

// selectByBits returns the addresses whose bits are set.
func selectByBits(ips []IP, bits uint32) (out []IP) {
	for i, ip := range ips {
		if bits&(1<<i) != 0 {
			out = append(out, ip)
		}
	}
	return out
}

func appendFlow(b []byte, f Flow) []byte {
	at := len(b)
	b = append(b, make([]byte, flowLen)...)
	f.put(b[at:])
	return b
}

func appendIPs(b []byte, ips []IP) []byte {
	for _, ip := range ips {
		b = binary.BigEndian.AppendUint32(b, uint32(ip))
	}
	return b
}

// decodeIPs decodes a count, whose highest bit is ignored, and that many addresses.
func decodeIPs(b []byte) (ips []IP, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+4*int(b[0]&^notAuthoritativeBit) {
		return nil, nil, false
	}
	n := int(b[0] &^ notAuthoritativeBit)
	for b = b[1:]; n > 0; n-- {
		ips = append(ips, IP(binary.BigEndian.Uint32(b)))
		b = b[4:]
	}
	return ips, b, true
}

// decodeLocated decodes a home's answer.
func decodeLocated(b []byte) (uncovered []IP, ls []locateResult, ok bool) {
	if uncovered, b, ok = decodeIPs(b); !ok {
		return nil, nil, false
	}
	for len(b) > 0 {
		var l locateResult
		if l.flow, ok = decodeFlow(b); !ok {
			return nil, nil, false
		}
		b = b[flowLen:]
		l.authoritative = len(b) > 0 && b[0]&notAuthoritativeBit == 0
		if l.holders, b, ok = decodeIPs(b); !ok {
			return nil, nil, false
		}
		ls = append(ls, l)
	}
	return uncovered, ls, true
}
