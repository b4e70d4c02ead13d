package experiment

import (
	"testing"
	"time"
)

// smallSize is a sixteenth of a core and a link of 10 Mbit/s.
var smallSize = size{messageTime: 16 * fullCoreMessageTime, bandwidth: 10 * bytesPerMegabit}

// Guards against small balancers that serve no requests for seconds after a power loss,
// because they look up all the lost flows.
func TestSmallBalancersServeSoonAfterALossOfPower(t *testing.T) {
	for name, x := range map[string]struct{ balancers, small, agents, callers int }{
		"most are small":           {26, 20, 48, 1200},
		"one of seven is small":    {7, 1, 20, 300},
		"all are small, few flows": {7, 7, 20, 300},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				w := newSite(t, seed, x.balancers-x.small, x.agents, 0)
				for i := range x.small {
					w.addBalancer(x.balancers-x.small+i, smallSize)
				}
				w.runUntil(w.now + 3*time.Second)
				for i := range x.callers {
					c := w.addCaller(i, time.Second)
					c.flowPerRequest = i%10 == 9
					c.targetLatency, c.timeout = 400*time.Millisecond, 4*time.Second
				}
				w.runUntil(w.now + 3*time.Second)
				w.dayStart = w.now
				w.powerLoss(time.Second)
				w.runUntil(w.now + 12*time.Second)
				w.checkBreaches(t)
				checkServedFrom(t, w, 4)
			}
		})
	}
}

// checkServedFrom fails the test if less than 95% of the requests of a second, from the
// given one on, were answered within the target latency.
func checkServedFrom(t *testing.T, w *simulation, second int) {
	t.Helper()
	for i, s := range w.seconds[:8] {
		t.Logf("second %d: %.3f answered within the target latency", i, s.Share())
		if i >= second && s.Share() < 0.95 {
			t.Errorf("%.3f answered within the target latency in second %d after the power loss, want 0.95", s.Share(), i)
		}
	}
}

// Guards against a link that transmits more or less than its rate, or queues datagrams for
// too long.
func TestLinkPassesItsRate(t *testing.T) {
	const rate, bytes = 1e6, 1000
	var l linkDirection
	passed := 0
	for now := time.Duration(0); now < time.Second; now += 100 * time.Microsecond {
		if wait, ok := l.enqueue(now, bytes, rate); ok {
			passed++
			if wait > maxLinkWait+time.Millisecond {
				t.Fatalf("a datagram waited %v, which is too long", wait)
			}
		}
	}
	if most := int(rate/bytes*(1+maxLinkWait.Seconds())) + 1; passed > most || passed < rate/bytes {
		t.Errorf("%d datagrams passed, want as many as the rate allows and at most %d", passed, most)
	}
}

// Guards against balancers that serve no requests at all once the load exceeds their
// capacity. The seven small balancers can serve two thirds of these callers in full.
func TestOverloadedBalancersServeWhatTheyCan(t *testing.T) {
	o := Options{Balancers: 7, Small: 7, Cores: 0.0625, Link: 10, Agents: 60, Zones: 3, Callers: 3000, Length: 5 * time.Second}
	for seed := range uint64(2) {
		d, err := o.simulate(PolicyIdler, seed, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %.3f answered within the target latency, worst second %.3f", seed, d.Total.Share(), d.Worst.Share())
		if len(d.Breaches) > 0 {
			t.Errorf("seed %d: %v", seed, d.Breaches)
		}
		if d.Worst.Share() < 0.5 {
			t.Errorf("seed %d: %.3f answered within the target latency in second %d, want 0.5", seed, d.Worst.Share(), d.WorstAt)
		}
	}
}
