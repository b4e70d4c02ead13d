package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// sharedPrefix is the length of the prefix that the callers of one account share in these tests.
const sharedPrefix = 20

// heavyAccounts are loads of a few heavy accounts beside many light ones.
var heavyAccounts = map[string]heavyLoad{
	"one account at twice the load of all others":   {accounts: 1, load: 0.6},
	"one account at three times the load of others": {accounts: 1, load: 1},
	"three heavy accounts":                          {accounts: 3, load: 1},
	"one of three zones at 4.7 times its load":      {accounts: 1, load: 0.7, quietZones: 2},
}

type heavyLoad struct {
	accounts int
	load     float64 // of the heavy accounts, as a share of what the upstreams bear
	// quietZones is the number of accounts that the light callers belong to; 0 if each is an
	// account of its own.
	quietZones int
}

// playHeavy returns the outcomes of the light callers' requests, the heavy ones' and the urgent ones.
func playHeavy(t *testing.T, seed uint64, x heavyLoad, prefix uint8) (light, heavy, urgent outcomes) {
	t.Helper()
	s := loadedSites["short queue"]
	s.feeds.flowPerRequest = true
	s.feeds.callerAddress = func(n int) datagram.IP {
		if x.quietZones > 0 {
			return datagram.IP(0x10000000 + n%x.quietZones<<12 + n/x.quietZones)
		}
		return datagram.IP(0x10000000 + n<<12)
	}
	w, f, c := s.startWith(t, seed, datagram.AdmitByLevel)
	for _, v := range w.balancers {
		v.b.AccountPrefix = prefix
	}
	l := *f
	l.idle, l.rate = nil, x.load*float64(s.upstreams*s.slots)/f.serviceTime.Seconds()
	l.callerAddress = func(n int) datagram.IP { return datagram.IP(0x70000000 + n%x.accounts<<12 + n/x.accounts) }
	if x.load > 0 {
		w.addWorkload(&l)
	}
	w.runUntil(w.now + 2*time.Second) // until the rates are known
	q, u := w.play(1, 5*time.Second)
	lo := l.outcomes
	w.play(1, c.timeout)
	w.checkBreaches(t)
	if lo == nil {
		lo = &outcomes{}
	}
	return *q, *lo, *u
}

// Guards against a few heavy accounts that cost the others what they could have had.
func TestHeavyAccountsCostOthersNothing(t *testing.T) {
	for name, x := range heavyAccounts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range longSeedCount(t) {
				alone, _, _ := playHeavy(t, seed, heavyLoad{accounts: 1, quietZones: x.quietZones}, sharedPrefix)
				light, heavy, urgent := playHeavy(t, seed, x, sharedPrefix)
				unshared, unsharedHeavy, _ := playHeavy(t, seed, x, 32)
				t.Logf("seed %d: in time: light %.3f, alone %.3f, with an account for each heavy caller %.3f; heavy %.3f, %.3f; urgent %.3f; %+v",
					seed, light.share(), alone.share(), unshared.share(), heavy.share(), unsharedHeavy.share(), urgent.share(), light)
				if light.share() < alone.share()-0.01 {
					t.Errorf("seed %d: %.3f of the light callers' requests in time, %.3f without the heavy ones", seed, light.share(), alone.share())
				}
				if urgent.share() < 0.99 {
					t.Errorf("seed %d: %.3f of the urgent requests in time", seed, urgent.share())
				}
			}
		})
	}
}
