package experiment

import (
	"testing"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// sharedPrefix is the length of the prefix that the callers of one account share in these tests.
const sharedPrefix = 20

// loudAccounts are loads of a few loud accounts beside many quiet ones.
var loudAccounts = map[string]loudLoad{
	"one account at twice the load of all others":   {accounts: 1, load: 0.6},
	"one account at three times the load of others": {accounts: 1, load: 1},
	"three loud accounts":                           {accounts: 3, load: 1},
	"one of three zones at 4.7 times its load":      {accounts: 1, load: 0.7, quietZones: 2},
}

type loudLoad struct {
	accounts int
	load     float64 // of the loud accounts, as a share of what the upstreams bear
	// quietZones is the number of accounts that the quiet callers belong to; 0 if each is an
	// account of its own.
	quietZones int
}

// playLoud returns the outcomes of the quiet callers' requests, the loud ones' and the urgent ones.
func playLoud(t *testing.T, seed uint64, x loudLoad, prefix uint8) (quiet, loud, urgent outcomes) {
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

// Guards against a few loud accounts that cost the others what they could have had.
func TestLoudAccountsCostOthersNothing(t *testing.T) {
	for name, x := range loudAccounts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range longSeedCount(t) {
				alone, _, _ := playLoud(t, seed, loudLoad{accounts: 1, quietZones: x.quietZones}, sharedPrefix)
				quiet, loud, urgent := playLoud(t, seed, x, sharedPrefix)
				unshared, unsharedLoud, _ := playLoud(t, seed, x, 32)
				t.Logf("seed %d: in time: quiet %.3f, alone %.3f, with an account for each loud caller %.3f; loud %.3f, %.3f; urgent %.3f; %+v",
					seed, quiet.share(), alone.share(), unshared.share(), loud.share(), unsharedLoud.share(), urgent.share(), quiet)
				if quiet.share() < alone.share()-0.01 {
					t.Errorf("seed %d: %.3f of the quiet callers' requests in time, %.3f without the loud ones", seed, quiet.share(), alone.share())
				}
				if urgent.share() < 0.99 {
					t.Errorf("seed %d: %.3f of the urgent requests in time", seed, urgent.share())
				}
			}
		})
	}
}
