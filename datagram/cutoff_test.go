package datagram

import (
	"testing"
	"time"
)

// newFleetView returns a balancer that knows n other balancers in five availability zones, the
// statuses of which are spread evenly over their interval, and the function that lets time pass
// while the statuses of those arrive for which arrives is true.
func newFleetView(t *testing.T, n int) (b *Balancer, run func(until time.Duration, arrives func(IP) bool, check func(now time.Duration))) {
	t.Helper()
	now := time.Minute
	b, _ = testBalancer(t, 7, now)
	for i := range n {
		ip := IP(1000 + i)
		b.discoverPeer(ip, now)
		b.peers[ip].zone = ZoneKey(1 + i%5)
	}
	b.lastActive = now
	interval := farInterval(n + 1)
	lastRun := now
	run = func(until time.Duration, arrives func(IP) bool, check func(now time.Duration)) {
		for ; now < until; now += 50 * time.Millisecond {
			b.detectPause(now)
			for i := range n {
				ip := IP(1000 + i)
				phase := time.Duration(uint64(interval) / 1000 * (score(uint64(n), ip) % 1000))
				if (now+phase)/interval > (lastRun+phase)/interval && arrives(ip) {
					b.peers[ip].lastSeen = now
				}
			}
			lastRun = now
			check(now)
		}
	}
	run(now+2*interval, func(IP) bool { return true }, func(time.Duration) {})
	return b, run
}

// Guards against a balancer that is cut off, and stays in use for a time that grows with the fleet,
// and against one that takes the loss of an availability zone for a cut.
func TestCutIsNoticedInFleetOfAnySize(t *testing.T) {
	for name, n := range map[string]int{"23": 22, "50": 49, "91": 90, "304": 303, "800": 799, "2,800": 2799} {
		t.Run(name, func(t *testing.T) {
			b, run := newFleetView(t, n)
			begin := b.lastActive
			run(begin+5*time.Second, func(ip IP) bool { return b.peers[ip].zone != 1 }, func(now time.Duration) {
				if b.lostPeers(now) {
					t.Fatalf("takes the loss of a zone for a cut after %v", now-begin)
				}
			})
			run(b.lastActive+2*farInterval(n+1), func(IP) bool { return true }, func(time.Duration) {})
			begin = b.lastActive
			noticed := time.Duration(0)
			run(begin+5*time.Second, func(IP) bool { return false }, func(now time.Duration) {
				if noticed == 0 && b.lostPeers(now) {
					noticed = now - begin
				}
			})
			if noticed == 0 || noticed > 2*time.Second {
				t.Errorf("cut noticed after %v, want within 2 s", noticed)
			}
		})
	}
}

// Guards against a balancer that takes itself for isolated as long as an availability zone is gone,
// because most of the few agents near it are in that zone. Its verifications then count for
// nothing, it considers none of the agents gone, and callers of their flows wait.
func TestLossOfMostNearAgentsIsNoIsolation(t *testing.T) {
	for name, n := range map[string]int{"23": 22, "304": 303, "800": 799} {
		t.Run(name, func(t *testing.T) {
			b, run := newFleetView(t, n)
			lost := 0
			for ip, a := range b.agents.byIP {
				if a.status.Interval = MillisOf(LargeFleetInterval); ip <= 5 {
					lost++
				}
			}
			begin, isolatedAt := b.lastActive, time.Duration(0)
			step := func(agentsArrive func(IP) bool) func(time.Duration) {
				return func(now time.Duration) {
					for ip, a := range b.agents.byIP {
						if agentsArrive(ip) && now-a.lastSeen >= LargeFleetInterval {
							a.lastSeen = now
						}
					}
					if isolatedAt == 0 && now > begin+time.Second && b.isolated(now) {
						isolatedAt = now
					}
				}
			}
			run(begin+5*time.Second, func(ip IP) bool { return b.peers[ip].zone != 1 }, step(func(ip IP) bool { return ip > 5 }))
			if isolatedAt != 0 {
				t.Errorf("isolated %v after %d of %d near agents were lost with their zone", isolatedAt-begin, lost, len(b.agents.byIP))
			}
			run(b.lastActive+2*farInterval(n+1), func(IP) bool { return true }, func(now time.Duration) { step(func(IP) bool { return true })(now) })
			begin, isolatedAt = b.lastActive-time.Second, 0
			run(b.lastActive+5*time.Second, func(IP) bool { return false }, step(func(IP) bool { return false }))
			if isolatedAt == 0 || isolatedAt-begin-time.Second > 2*time.Second {
				t.Errorf("isolation noticed after %v, want within 2 s", isolatedAt-begin-time.Second)
			}
		})
	}
}
