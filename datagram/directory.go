package datagram

import (
	"encoding/binary"
	"time"
)

// The directory of a home balancer says which agents hold the flows that it is home of.
// Each agent numbers what it tells a home, and its statuses say how much that is, so
// the home notices what was lost and asks for all of it again. A home that lacks
// nothing of any agent can also tell that a flow is gone.

const (
	// directoryTurn is over the time in which agents repeat their entries.
	directoryTurn = refreshEvery + time.Minute
	// directoryMost bounds the memory of a directory to some 30 MB.
	directoryMost = 400_000
	// resendEvery spaces the requests to one agent to tell all again.
	resendEvery = 300 * time.Millisecond
	// coverageFor spaces the looks at all agents.
	coverageFor = 5 * time.Millisecond
	// unsureMost bounds the agents that a lookup has to ask itself.
	unsureMost = 16
)

// directory is what a home knows of flows.
type directory struct {
	flows table[holders]
	logs  map[IP]*entryLog
	// dropped is when entries were dropped for want of room; 0: never.
	dropped time.Duration
	// covered, unsure: what coverage returned at looked.
	covered bool
	unsure  []IP
	looked  time.Duration
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
	if l == nil {
		return s.Entries == 0
	}
	return s.Entries == 0 && s.Epoch >= l.epoch || l.life == s.Life && l.epoch == s.Epoch && int32(l.next-s.Entries) >= 0
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

// coverage reports whether the directory has the flows of all agents but those that are
// unsure, which were started after their upstreams and have to be asked themselves.
func (b *Balancer) coverage(now time.Duration) (bool, []IP) {
	d := &b.directory
	if d.looked == 0 || now-d.looked >= coverageFor {
		d.looked = now
		d.unsure = d.unsure[:0]
		d.covered = b.settled && !b.lonely(now) && (d.dropped == 0 || now-d.dropped > 2*directoryTurn) && b.cover(now)
	}
	return d.covered, d.unsure
}

// cover works out coverage. A balancer that hears less than half of the agents is
// rather cut off than alone alive.
func (b *Balancer) cover(now time.Duration) bool {
	d := &b.directory
	unheard := 0
	for ip, a := range b.agents.byIP {
		if !a.reachable(now) {
			unheard++
		}
		switch {
		case !a.mayHold(now):
		case !a.reachable(now):
			return false
		case !a.status.KnowsAll:
			if len(d.unsure) == unsureMost {
				return false
			}
			d.unsure = append(d.unsure, ip)
		case a.status.Homes != b.homes.digest || !d.logs[ip].complete(&a.status):
			return false
		}
	}
	return 2*unheard <= len(b.agents.byIP)
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
	holders []IP
}

const (
	locateHeadLen = 8
	// locateMost is how many flows one message asks for, so that the answer fits one.
	locateMost = 40
)

// locate answers another balancer that asks where flows are.
func (b *Balancer) locate(from IP, p []byte, now time.Duration) {
	if len(p) < locateHeadLen || (len(p)-locateHeadLen)%flowLen != 0 || len(p) > locateHeadLen+locateMost*flowLen {
		b.Count.BadMessages++
		return
	}
	h := Message{Kind: KindLocated}
	covered, unsure := b.coverage(now)
	if !covered || binary.BigEndian.Uint64(p) != b.homes.digest {
		h.Flags, unsure = FlagUnsure, nil
	}
	m := append(b.scratch[:HeaderLen], byte(len(unsure)))
	m = appendIPs(m, unsure)
	for p = p[locateHeadLen:]; len(p) > 0; p = p[flowLen:] {
		f, _ := flowFrom(p)
		x, _ := b.directory.flows.get(f)
		at := len(m)
		m = append(m, make([]byte, flowLen)...)
		f.put(m[at:])
		m = append(m, byte(len(x.list())))
		m = appendIPs(m, x.list())
	}
	b.Count.Located++
	b.send(m, h, from)
}

func appendIPs(b []byte, ips []IP) []byte {
	for _, ip := range ips {
		b = binary.BigEndian.AppendUint32(b, uint32(ip))
	}
	return b
}

// cutIPs reads a count and so many addresses.
func cutIPs(b []byte) (ips []IP, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+4*int(b[0]) {
		return nil, nil, false
	}
	n := int(b[0])
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
		if l.holders, b, ok = cutIPs(b[flowLen:]); !ok {
			return nil, nil, false
		}
		ls = append(ls, l)
	}
	return unsure, ls, true
}
