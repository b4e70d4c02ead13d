package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/datagram"
	"pomeloway.example/pomeloway/keyring"
	"pomeloway.example/pomeloway/link"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// storeFleet is a fleet of balancers that follow the configuration and the evacuations in
// one simulated store. Their messages arrive at once, and so do the configurations that they
// fetch from each other.
type storeFleet struct {
	mu      sync.Mutex
	start   time.Time
	members map[datagram.IP]*fleetMember
	queue   []func()
}

// fleetMember is a balancer of a storeFleet.
type fleetMember struct {
	fleet         *storeFleet
	ip            datagram.IP
	b             *datagram.Balancer
	store         *store
	configuration *datagram.Configuration
	gates         [2]gate // for the configuration and the evacuations
}

func (m *fleetMember) ToCaller(datagram.IP, []byte) {}

func (m *fleetMember) ToProcess(to datagram.IP, b []byte) {
	b = slices.Clone(b)
	m.fleet.queue = append(m.fleet.queue, func() {
		if o := m.fleet.members[to]; o != nil {
			o.b.HandleMessage(m.ip, b, m.fleet.now())
		}
	})
}

func (f *storeFleet) now() time.Duration { return time.Since(f.start) }

// do calls g and delivers all messages that result.
func (f *storeFleet) do(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		next()
	}
	for _, m := range f.members {
		m.gates[0].set(m.b.WatchesStore() || m.b.ConfigurationVersion() == 0)
		m.gates[1].set(m.b.WatchesStore() || m.b.ZonesRevision() == 0)
	}
}

// newStoreFleet starts n balancers that call the store. They run until the context ends.
func newStoreFleet(ctx context.Context, t *testing.T, n int, p *standin.Platform) *storeFleet {
	r, err := keyring.Parse([]string{testKey})
	if err != nil {
		t.Fatal(err)
	}
	f := &storeFleet{start: time.Now(), members: map[datagram.IP]*fleetMember{}}
	var ms []datagram.Member
	for i := range n {
		m := &fleetMember{fleet: f, ip: datagram.IP(0x0a000001 + i), store: testStore(p)}
		m.b = &datagram.Balancer{Self: m.ip, Life: datagram.Life(i + 1), Format: platform.PacketFormat{}, Out: m, Keys: link.NewKeys(r)}
		m.b.OnNewerConfiguration = func(from datagram.IP, _ datagram.Version) {
			m.configuration = f.members[from].configuration
			m.b.SetConfiguration(m.configuration)
		}
		m.b.Start()
		f.members[m.ip] = m
		ms = append(ms, datagram.Member{IP: m.ip})
	}
	f.do(func() {
		for _, m := range f.members {
			m.b.SetMembers(ms, true, f.now())
		}
	})
	for _, m := range f.members {
		go m.store.follow(ctx, &m.gates[0], platform.KindConfiguration, func(all map[string]platform.Object, _ platform.Revision) {
			c, err := platform.DecodeConfiguration(all[platform.ConfigurationName].Spec)
			if err != nil {
				return
			}
			f.do(func() {
				if m.b.SetConfiguration(c) {
					m.configuration = c
					m.b.SendStatusToPeers(f.now())
				}
			})
		})
		go m.store.follow(ctx, &m.gates[1], platform.KindEvacuation, func(_ map[string]platform.Object, at platform.Revision) {
			f.do(func() { m.b.SetZonesOut(nil, uint64(at), f.now()) })
		})
	}
	go func() {
		for ctx.Err() == nil {
			f.do(func() {
				for _, m := range f.members {
					m.b.Tick(f.now())
				}
			})
			clock.Sleep(ctx, datagram.StatusInterval)
		}
	}()
	return f
}

// Guards against calls to the store that grow with the fleet, and against balancers that do
// not watch the store and miss a change there.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	const changes, pause = 4, 10 * time.Second
	calls := map[int]uint64{}
	for _, n := range []int{10, 30, 100} {
		t.Run(fmt.Sprint(n, " balancers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				p := &standin.Platform{}
				s := testStore(p)
				write := func(version int) {
					o, err := s.client().Get(ctx, platform.KindConfiguration, platform.ConfigurationName)
					c := map[string]any{"version": version, "routes": []any{}, "services": []any{}}
					if err != nil {
						_, err = s.client().Create(ctx, platform.KindConfiguration, platform.ConfigurationName, c)
					} else {
						_, err = s.client().Update(ctx, platform.KindConfiguration, platform.ConfigurationName, c, o.Meta.Revision)
					}
					if err != nil {
						t.Fatal(err)
					}
				}
				write(1)
				f := newStoreFleet(ctx, t, n, p)
				time.Sleep(4 * time.Second)
				before := p.Counts().Reads
				for i := range changes {
					write(2 + i)
					time.Sleep(time.Second)
					f.mu.Lock()
					for _, m := range f.members {
						if v := m.b.ConfigurationVersion(); v != datagram.Version(2+i) {
							t.Errorf("balancer %v has version %d one second after version %d", m.ip, v, 2+i)
						}
					}
					f.mu.Unlock()
					time.Sleep(pause - time.Second)
				}
				calls[n] = p.Counts().Reads - before
				stop()
				synctest.Wait()
			})
		})
	}
	t.Logf("reads in %v with %d changes, by balancers: %v", changes*pause, changes, calls)
	if calls[100] > calls[10]*3/2 {
		t.Errorf("%d reads by 100 balancers, %d by 10", calls[100], calls[10])
	}
}
