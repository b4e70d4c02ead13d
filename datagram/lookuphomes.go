package datagram

import (
	"slices"
	"time"
)

// A lookup asks the flow's two homes. It asks the reserve homes too if a home does not answer in
// time, or at once if that is to be expected. The answers of two of these prove where the flow can
// be.

// homesForRound returns the homes that are asked in the lookup's round. Every second round takes
// those among all balancers that this one knows: agents may have heard some of these that it has
// not, for instance because it started while an availability zone is away.
func (b *Balancer) homesForRound(l *lookup) registration {
	if l.round%2 == 0 {
		return b.knownBalancers().registration(l.flow)
	}
	return b.homes.registration(l.flow)
}

// askHome asks the i-th home which agents hold the flow.
func (b *Balancer) askHome(l *lookup, i int, now time.Duration) {
	b.lookups.schedule(l, now+homeAnswerTimeout)
	switch ip := l.homes[i]; ip {
	case 0:
		l.homeAnswered[i], l.authoritative[i] = true, i > 0
	case b.Self:
		c := b.coverage(now)
		x, _ := b.directory.flows.get(l.flow)
		l.addHomeAnswer(i, x.list(), c.uncovered, c.covers(l.flow, b.Self))
	default:
		b.send(appendFlow(b.scratch[:HeaderLen], l.flow), Message{Kind: KindLocate}, ip)
	}
}

// homesOverdue reports whether a home has not answered in time, so that the reserve homes have to
// be asked.
func (l *lookup) homesOverdue(now time.Duration) bool {
	return l.awaitingHomes && !l.reservesAsked && now >= l.due && !l.homesAgree() && l.awaitsFirst()
}

// awaitsHomes reports whether a home that was asked in this round may still answer, and whether
// its answer matters.
func (l *lookup) awaitsHomes(now time.Duration) bool {
	if !l.awaitingHomes || now >= l.due || l.homesAgree() {
		return false
	}
	return l.awaitsFirst() || l.reservesAsked && slices.Contains(l.homeAnswered[firstReserve:], false)
}

// awaitsFirst reports whether a home other than the reserve homes has not answered.
func (l *lookup) awaitsFirst() bool { return slices.Contains(l.homeAnswered[:firstReserve], false) }

// askReserves asks the reserve homes.
func (b *Balancer) askReserves(l *lookup, now time.Duration) {
	l.reservesAsked = true
	for i := firstReserve; i < len(l.homes); i++ {
		if l.homes[i] == 0 {
			l.homeAnswered[i] = true
			continue
		}
		b.askHome(l, i, now)
	}
}

// noteSilentHomes records the homes that have not answered, so that the next lookups ask their
// reserve homes at once.
func (b *Balancer) noteSilentHomes(l *lookup) {
	for i, ip := range l.homes[:firstReserve] {
		if p := b.peers[ip]; p != nil && !l.homeAnswered[i] {
			p.unanswered = true
		}
	}
}

// expectsSilence reports whether a home of the flow left the last question unanswered.
func (b *Balancer) expectsSilence(l *lookup) bool {
	return slices.ContainsFunc(l.homes[:firstReserve], func(ip IP) bool {
		p := b.peers[ip]
		return p != nil && p.unanswered
	})
}

// isCachedAgentSilent reports whether this balancer remembers the flow's agent and that one is not
// reachable. If the agent has failed with its availability zone, a home probably has too.
func (b *Balancer) isCachedAgentSilent(l *lookup, now time.Duration) bool {
	at, _ := b.flows.get(l.flow)
	a := b.agents.byIP[at.agent]
	return at.opening == 0 && a != nil && !a.reachable(now)
}

// homesAgree reports whether enough homes are authoritative to prove that no other agent than
// those named holds the flow. A single one does not suffice, as the registration there may have
// been lost.
func (l *lookup) homesAgree() bool {
	n := 0
	for _, ok := range l.authoritative {
		if ok {
			n++
		}
	}
	return n >= homesPerFlow
}

// addHomeAnswer records the answer of the i-th home.
func (l *lookup) addHomeAnswer(i int, holders, uncovered []IP, authoritative bool) {
	l.homeAnswered[i], l.authoritative[i] = true, authoritative && len(holders) < maxHolders
	for _, ip := range holders {
		if !slices.Contains(l.holders, ip) {
			l.holders = append(l.holders, ip)
		}
	}
	l.uncovered = append(l.uncovered, uncovered...)
}
