package datagram

import (
	"slices"
	"testing"
	"time"
)

// zonesOfTen returns a zone for each address, five in all.
func zonesOfTen(ip IP) ZoneKey { return ZoneKey(1 + ip%5) }

// Guards against flows that nobody can prove gone, and whose callers therefore wait, because a
// home of theirs is in the availability zone that failed.
func TestZoneLossLeavesTwoRegistrations(t *testing.T) {
	for name, x := range map[string]struct {
		balancers int
		zoneOf    func(IP) ZoneKey
		want      float64 // share of the flows
	}{
		"10 balancers":           {10, zonesOfTen, 1},
		"304 balancers":          {304, zonesOfTen, 1},
		"800 balancers":          {800, zonesOfTen, 1},
		"zones unknown":          {304, nil, 0.85},
		"half of an older build": {304, func(ip IP) ZoneKey { return zonesOfTen(ip) * ZoneKey(ip/5%2) }, 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			var ips []IP
			for i := range x.balancers {
				ips = append(ips, IP(100+i))
			}
			s := newHomeSet(ips, x.zoneOf)
			const flows = 4000
			kept := 0
			for port := range uint16(flows) {
				h := s.registration(testFlow(port))
				if first := s.choose(testFlow(port)); !slices.Equal(h[:firstReserve], first[:]) || first.has(h[firstReserve]) || h[firstReserve] == 0 {
					t.Fatalf("homes %v with reserve homes: %v", first, h)
				}
				alive := 0
				for _, ip := range h {
					if ip != 0 && zonesOfTen(ip) != 1 {
						alive++
					}
				}
				if alive >= 2 {
					kept++
				}
			}
			if share := float64(kept) / flows; share < x.want {
				t.Errorf("%.3f of the flows keep two of three registrations, want %.2f", share, x.want)
			}
		})
	}
}

// Guards against an agent or a balancer whose death nobody reports, because all that are near it
// are in its availability zone and have failed with it.
func TestSomebodyNearIsInAnotherZone(t *testing.T) {
	ips := make([]IP, 0, 304)
	for i := range cap(ips) {
		ips = append(ips, IP(100+i))
	}
	for key := range uint64(5000) {
		near := nearMembers(key, slices.Clone(ips), minNear, 1, zonesOfTen)
		if len(near) != minNear || !slices.ContainsFunc(near, func(ip IP) bool { return zonesOfTen(ip) != 1 }) {
			t.Fatalf("member %d has %v near it, all in its zone", key, near)
		}
		if o := highestRanked(key, slices.Clone(ips), minNear); !slices.Equal(near[:minNear-1], o[:minNear-1]) {
			t.Fatalf("member %d has %v near it, want %v but for the last", key, near, o)
		}
	}
	if near := nearMembers(1, []IP{101, 106, 111, 116}, minNear, zonesOfTen(101), zonesOfTen); len(near) != minNear {
		t.Errorf("%v near where all are in one zone", near)
	}
}

// Guards against resets of living flows on the word of one home, and against lookups that end
// without result while two of a flow's homes and its reserve home answer.
func TestReserveHomeAnswersForSilentHome(t *testing.T) {
	const notSure = 0x80
	for name, x := range map[string]struct {
		answers map[int]byte // number of holders in the answer of each home that answers
		asked   bool         // the reserve home is asked
		resets  int
	}{
		"both homes answer":                 {map[int]byte{0: 0, 1: 0}, false, 1},
		"one is silent":                     {map[int]byte{1: 0, 2: 0}, true, 1},
		"the other is silent":               {map[int]byte{0: 0, 2: 0}, true, 1},
		"both are silent":                   {map[int]byte{2: 0}, true, 0},
		"one and the reserve are silent":    {map[int]byte{1: 0}, true, 0},
		"one is not sure":                   {map[int]byte{0: 0, 1: notSure}, false, 0},
		"one is silent, reserve not sure":   {map[int]byte{0: 0, 2: notSure}, true, 0},
		"one is silent, the other not sure": {map[int]byte{0: notSure, 2: 0}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now-200*time.Millisecond)
			for ip := IP(101); ip <= 104; ip++ {
				addPeer(b, ip, now)
			}
			port := uint16(1)
			for h := b.homes.registration(testFlow(port)); slices.Contains(h[:], testSelf); h = b.homes.registration(testFlow(port)) {
				port++
			}
			h := b.homes.registration(testFlow(port))
			answer := func(i int) {
				if n, ok := x.answers[i]; ok {
					b.handleLocated(h[i], Message{}, append(appendFlow([]byte{0}, testFlow(port)), n), now)
				}
			}
			b.HandleCaller(plainPacket(plainData, port), now)
			b.lastAgentMessage = now + 1 // this balancer is not cut off
			answer(0)
			answer(1)
			now += homeAnswerTimeout
			b.runLookups(now)
			if asked := slices.Contains(s.to, h[firstReserve]); asked != x.asked {
				t.Errorf("reserve home asked: %t", asked)
			}
			answer(firstReserve)
			b.runLookups(now + homeAnswerTimeout)
			if s.caller != x.resets {
				t.Errorf("%d resets, want %d", s.caller, x.resets)
			}
		})
	}
}

// Guards against callers that are answered after their target latency: they have already waited for
// their repetition when the flow of a silent agent is looked up, and its home failed with the agent.
func TestReserveHomeIsAskedAtOnceIfAgentIsSilent(t *testing.T) {
	for name, silent := range map[string]bool{"agent is silent": true, "agent is reachable": false} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, s := testBalancer(t, 3, now-200*time.Millisecond)
			for ip := IP(101); ip <= 104; ip++ {
				addPeer(b, ip, now)
			}
			if silent {
				leaveUnanswered(b, 1, now)
			}
			port := uint16(1)
			for h := b.homes.registration(testFlow(port)); h.index(testSelf) >= 0; h = b.homes.registration(testFlow(port)) {
				port++
			}
			b.flows.set(testFlow(port), flowLocation{agent: 1})
			m := plainPacket(plainData, port)
			p, _ := plainFormat{}.Parse(m[HeaderLen:])
			b.lookUp(m, p, 0, now)
			h := b.homes.registration(testFlow(port))
			if asked := slices.Contains(s.to, h[firstReserve]); asked != silent {
				t.Errorf("reserve home asked: %t", asked)
			}
		})
	}
}

// Guards against a reserve home that denies flows which agents of the build before have not
// registered there.
func TestReserveHomeNeedsAgentsThatRegisterThere(t *testing.T) {
	for name, flags := range map[string]Flags{"this build": FlagReserveHomes, "the build before": 0} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			b, _ := testBalancer(t, 3, now)
			for ip := IP(101); ip <= 104; ip++ {
				addPeer(b, ip, now)
			}
			for ip := IP(1); ip <= 3; ip++ {
				f := FlagReserveHomes
				if ip == 2 {
					f = flags
				}
				s := b.agents.byIP[ip].status
				s.Sequence++
				b.HandleMessage(ip, message(b, Message{Kind: KindAgent, Flags: f, Service: 7}, s.append(nil)), now)
			}
			c := b.coverage(now + coverageInterval)
			for port := range uint16(200) {
				h := b.homes.registration(testFlow(port))
				want := slices.Contains(h[:firstReserve], testSelf) || h.index(testSelf) >= 0 && flags != 0
				if c.covers(testFlow(port), testSelf) != want {
					t.Fatalf("covers a flow with homes %v: %t", h, !want)
				}
			}
		})
	}
}
