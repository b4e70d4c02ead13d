package main

import (
	"net/netip"
	"strings"
	"syscall"
	"time"
)

// begin puts a fault into effect. It returns what ends it.
func (s *site) begin(f Fault) (end func() error, err error) {
	p := s.byName[f.Target]
	switch f.Kind {
	case kindStop:
		life := p.signal(syscall.SIGSTOP, 0)
		return func() error { p.signal(syscall.SIGCONT, life); return nil }, nil
	case kindKill:
		p.end(syscall.SIGKILL, exitLimit)
		return p.start, nil
	case kindTerm:
		ended := make(chan struct{})
		go func() { p.end(syscall.SIGTERM, exitLimit); close(ended) }()
		return func() error { <-ended; return p.start() }, nil
	case kindReload:
		return s.beginReload(p)
	case kindDelay:
		return p.impair(f, impairment{delay: 80 * time.Millisecond}, true, true)
	case kindDrop:
		return p.impair(f, impairment{drop: 0.2}, true, true)
	case kindRate:
		return p.impair(f, impairment{rate: 20_000}, true, true)
	case kindCutIn:
		return p.impair(f, impairment{drop: 1}, true, false)
	case kindCutOut:
		return p.impair(f, impairment{drop: 1}, false, true)
	case kindSilence:
		return p.impair(f, impairment{drop: 1}, true, true)
	case kindPair:
		a, b, _ := strings.Cut(f.Target, pairSeparator)
		w := s.mesh.pairs[[2]netip.Addr{s.byName[a].ip, s.byName[b].ip}]
		w.add(f, impairment{drop: 1})
		return func() error { w.remove(f); return nil }, nil
	case kindRewound:
		s.platform.DropHistory()
		return func() error { return nil }, nil
	case kindEvacuate:
		return func() error { return s.evacuate(f.Target, false) }, s.evacuate(f.Target, true)
	case kindConfig:
		return func() error { return nil }, s.configure()
	case kindDrain:
		u := s.upstreams[f.Target]
		u.drain()
		return func() error { u.post("deregister", nil); u.stop(); return u.start(coldStart) }, nil
	case kindCrash:
		u := s.upstreams[f.Target]
		u.stop()
		return func() error { return u.start(coldStart) }, nil
	case kindLaggard:
		u := s.upstreams[f.Target]
		s.locked(func() { u.slow = true })
		return func() error { s.locked(func() { u.slow = false }); return nil }, nil
	case kindOverload:
		s.locked(func() { s.extraLoad = overloadRate })
		return func() error { s.locked(func() { s.extraLoad = 0 }); return nil }, nil
	case kindHeavy:
		s.locked(func() { s.heavyLoad = heavyRate })
		return func() error { s.locked(func() { s.heavyLoad = 0 }); return nil }, nil
	}
	return s.beginStore(f)
}

// beginStore puts a fault of the store into effect, for one process or all.
func (s *site) beginStore(f Fault) (end func() error, err error) {
	var ps []*process
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if f.Target == all || f.Target == p.name {
			p.store.begin(f, s.operator.before)
			ps = append(ps, p)
		}
	}
	return func() error {
		for _, p := range ps {
			p.store.end(f)
		}
		return nil
	}, nil
}

// beginReload breaks the settings file, which the process must ignore. At the end it writes a
// file with another address of the store, and the old address stops working.
func (s *site) beginReload(p *process) (end func() error, err error) {
	if err := replaceFile(s.settingsPath(p), "ip = 'none'\n"); err != nil {
		return nil, err
	}
	p.signal(syscall.SIGHUP, 0)
	return func() error {
		p.store.swap()
		if err := s.writeSettings(p); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP, 0)
		return nil
	}, nil
}

// impair impairs the datagrams of the process in the directions.
func (p *process) impair(f Fault, i impairment, in, out bool) (end func() error, err error) {
	if in {
		p.in.add(f, i)
	}
	if out {
		p.out.add(f, i)
	}
	return func() error { p.in.remove(f); p.out.remove(f); return nil }, nil
}
