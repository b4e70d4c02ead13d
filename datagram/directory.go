package datagram

import (
	"encoding/binary"
	"slices"
	"time"
)

// The directory of a home balancer says which agents hold the flows that it is home of.
// Each agent numbers what it tells a home, and its statuses say how much that is, so
// the home notices what was lost and asks for all of it again. A home that lacks
// nothing of any agent can also tell that a flow is gone.

const (
	// directoryTurn is over the time in which agents repeat their entries.
	directoryTurn = refreshEvery + time.Minute
	// directoryMost bounds the memory of a directory.
	directoryMost = 400_000
	// resendEvery spaces the requests to one agent to tell all again.
	resendEvery = 300 * time.Millisecond
	// coverageFor spaces the looks at all agents.
	coverageFor = 10 * time.Millisecond
	// unsureMost bounds the agents that a lookup has to ask itself.
	unsureMost = 16
)

// directory is what a home knows of flows.
type directory struct {
	flows table[holders]
	logs  map[IP]*entryLog
	// dropped is when entries were dropped for want of room; 0: never.
	dropped  time.Duration
	coverage coverage
}

// coverage is of which flows a directory knows all that there is to know.
type coverage struct {
	at time.Duration // when it was worked out
	ok bool
	// unsure are agents that were started after their upstreams and have to be asked
	// themselves, sets those among which the others choose homes.
	unsure []IP
	sets   []homeSet
}

// of reports whether the home knows of the flow if any agent, but the unsure, holds it.
func (c *coverage) of(f Flow, home IP) bool {
	for i := range c.sets {
		if !c.sets[i].of(f).has(home) {
			return false
		}
	}
	return c.ok
}

func newDirectory() directory {
	return directory{flows: newTable[holders](directoryTurn, directoryMost), logs: map[IP]*entryLog{}}
}

// tick forgets entries that were not repeated.
func (d *directory) tick(now time.Duration) {
	early := now-d.flows.turned < directoryTurn
	if len(d.flows.tick(now)) > 0 && early {
		d.dropped = now
	}
}

// entryLog is how much of what an agent told this home has arrived.
type entryLog struct {
	life  Life
	epoch uint32
	next  uint32 // all before have arrived
	ahead uint64 // which of the 64 from next on have arrived
	asked time.Duration
	late  bool // the status before said that something is missing
}

// arrived notes an entry, in whatever order entries arrive.
func (l *entryLog) arrived(n uint32) {
	if at := n - l.next; at < 64 {
		l.ahead |= 1 << at
	}
	for l.ahead&1 != 0 {
		l.ahead >>= 1
		l.next++
	}
}

// complete reports whether all has arrived that the agent had told when it sent the status.
func (l *entryLog) complete(s *AgentStatus) bool {
	switch {
	case l == nil, l.life != s.Life:
		return s.Entries == 0
	case l.epoch != s.Epoch:
		return s.Entries == 0 && s.Epoch > l.epoch
	}
	return int32(l.next-s.Entries) >= 0
}

// entriesHead begins a message with entries.
type entriesHead struct {
	Life  Life
	Epoch uint32
	First uint32
}

const (
	entriesHeadLen = 8 + 4 + 4
	// entriesMost fit one datagram.
	entriesMost = 100
)

// hearEntries takes in flows that an agent holds.
func (b *Balancer) hearEntries(from IP, p []byte) {
	var h entriesHead
	if _, err := binary.Decode(p, binary.BigEndian, &h); err != nil || (len(p)-entriesHeadLen)%flowLen != 0 {
		b.Count.BadMessages++
		return
	}
	if a := b.agents.byIP[from]; a != nil && a.wasBefore(h.Life) {
		return
	}
	l := b.directory.log(from, &h)
	if l == nil {
		return
	}
	n := h.First
	for p = p[entriesHeadLen:]; len(p) > 0; p = p[flowLen:] {
		f, _ := flowFrom(p)
		x, _ := b.directory.flows.get(f)
		x.add(from)
		b.directory.flows.set(f, x)
		l.arrived(n)
		n++
		b.Count.Entries++
	}
}

// log returns the agent's log, a new one if the agent began anew, or nil if the entries
// are of an earlier one.
func (d *directory) log(from IP, h *entriesHead) *entryLog {
	l := d.logs[from]
	switch {
	case l == nil:
		l = &entryLog{life: h.Life, epoch: h.Epoch}
		d.logs[from] = l
	case l.life == h.Life && int32(h.Epoch-l.epoch) < 0:
		return nil
	case l.life != h.Life || l.epoch != h.Epoch:
		l.life, l.epoch, l.next, l.ahead = h.Life, h.Epoch, 0, 0
	}
	return l
}

// checkEntries asks the agent to tell all again if two statuses in turn say that
// something is missing; one may have overtaken an entry.
func (b *Balancer) checkEntries(from IP, s *AgentStatus, now time.Duration) {
	l := b.directory.logs[from]
	if l.complete(s) {
		if l != nil {
			l.late = false
		}
		return
	}
	if l == nil {
		l = &entryLog{life: s.Life, epoch: s.Epoch}
		b.directory.logs[from] = l
	}
	if !l.late {
		l.late = true
		return
	}
	if l.asked != 0 && now-l.asked < resendEvery {
		return
	}
	l.asked = now
	b.Count.Resends++
	b.Log.entriesMissing(from, s.Life)
	b.send(b.scratch[:HeaderLen], Message{Kind: KindResend}, from)
}

// coverage returns what the directory covers.
func (b *Balancer) coverage(now time.Duration) *coverage {
	d := &b.directory
	c := &d.coverage
	if c.at == 0 || now-c.at >= coverageFor {
		*c = coverage{at: now, unsure: c.unsure[:0], sets: c.sets[:0]}
		c.ok = b.settled && !b.lonely(now) && (d.dropped == 0 || now-d.dropped > 2*directoryTurn) && b.cover(c, now)
		if !c.ok {
			c.unsure = c.unsure[:0] // of some agents only, which helps nobody
		}
	}
	return c
}

// cover works out coverage. A balancer that hears less than half of the agents is
// rather cut off than alone alive.
func (b *Balancer) cover(c *coverage, now time.Duration) bool {
	d := &b.directory
	unheard := 0
	for ip, a := range b.agents.byIP {
		if !a.reachable(now) {
			unheard++
		}
		switch {
		case !a.mayHold(now):
		case !a.reachable(now), b.stale(a):
			return false
		case !a.status.KnowsAll:
			if len(c.unsure) == unsureMost {
				return false
			}
			c.unsure = append(c.unsure, ip)
		case !a.knowsHomes(&b.homes), !d.logs[ip].complete(&a.status), !c.add(a.homes):
			return false
		}
	}
	return 2*unheard <= len(b.agents.byIP)
}

// setsMost bounds the sets that are looked at for each flow: agents hear of balancers
// that start together in other orders.
const setsMost = 64

// add notes a set among which an agent chooses homes; false if there are too many.
func (c *coverage) add(s homeSet) bool {
	if slices.ContainsFunc(c.sets, func(o homeSet) bool { return o.digest == s.digest }) {
		return true
	}
	c.sets = append(c.sets, s)
	return len(c.sets) <= setsMost
}

// forgetLogs drops what is known of agents that are forgotten.
func (b *Balancer) forgetLogs() {
	for ip := range b.directory.logs {
		if b.agents.byIP[ip] == nil {
			delete(b.directory.logs, ip)
		}
	}
}

// located is a home's answer about one flow.
type located struct {
	flow    Flow
	sure    bool // the home knows all holders
	holders []IP
}

const (
	// locateMost is how many flows one message asks for, so that the answer fits one.
	locateMost = 40
	// unsureBit stands beside the number of holders.
	unsureBit = 0x80
)

// locate answers another balancer that asks where flows are.
func (b *Balancer) locate(from IP, p []byte, now time.Duration) {
	if len(p) == 0 || len(p)%flowLen != 0 || len(p) > locateMost*flowLen {
		b.Count.BadMessages++
		return
	}
	c := b.coverage(now)
	m := append(b.scratch[:HeaderLen], byte(len(c.unsure)))
	m = appendIPs(m, c.unsure)
	for ; len(p) > 0; p = p[flowLen:] {
		f, _ := flowFrom(p)
		x, _ := b.directory.flows.get(f)
		n := byte(len(x.list()))
		if !c.of(f, b.Self) {
			n |= unsureBit
		}
		m = append(appendFlow(m, f), n)
		m = appendIPs(m, x.list())
	}
	b.Count.Located++
	b.send(m, Message{Kind: KindLocated}, from)
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

// cutIPs reads a count, without its highest bit, and so many addresses.
func cutIPs(b []byte) (ips []IP, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+4*int(b[0]&^unsureBit) {
		return nil, nil, false
	}
	n := int(b[0] &^ unsureBit)
	for b = b[1:]; n > 0; n-- {
		ips = append(ips, IP(binary.BigEndian.Uint32(b)))
		b = b[4:]
	}
	return ips, b, true
}

// decodeLocated reads a home's answer.
func decodeLocated(b []byte) (unsure []IP, ls []located, ok bool) {
	if unsure, b, ok = cutIPs(b); !ok {
		return nil, nil, false
	}
	for len(b) > 0 {
		var l located
		if l.flow, ok = flowFrom(b); !ok {
			return nil, nil, false
		}
		b = b[flowLen:]
		l.sure = len(b) > 0 && b[0]&unsureBit == 0
		if l.holders, b, ok = cutIPs(b); !ok {
			return nil, nil, false
		}
		ls = append(ls, l)
	}
	return unsure, ls, true
}
