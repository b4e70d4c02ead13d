package datagram

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"pomeloway.example/pomeloway/fleet"
)

// Former routes. A new configuration leaves open flows where they are, so a flow may be at a service
// to which its route no longer leads. A lookup that has to ask agents needs to know these services:
// the packet that it sends may reach their upstreams, and must reach no other service's.
//
// A balancer remembers which services its routes have led to during the lifetime of flows. One that
// has just started knows the configuration in force and the record of routes, and is told by others.

// formerRoute is a service to which a route led until recently.
type formerRoute struct {
	Address Endpoint
	Service ServiceKey
	// Age is how long ago the route led there last.
	Age Millis
}

const (
	formerRouteLen = 6 + 8 + 4
	// maxFormerRoutes bounds a balancer's memory; the oldest are dropped first.
	maxFormerRoutes = 1024
	// maxFormerRoutesSent is how many fit into one message. A balancer that has more sends some
	// of them, and others send others.
	maxFormerRoutesSent = 60
	// formerRoutesSenders is how many balancers tell one that has started recently. If half of the
	// fleet has restarted, one of them still knows.
	formerRoutesSenders = 16
)

// formerRoutes has the time until which each route led to a service that it does not lead to now.
// Its zero value is empty.
type formerRoutes map[Endpoint]map[ServiceKey]time.Duration

// add notes that a route led to a service until the given time.
func (x *formerRoutes) add(e Endpoint, s ServiceKey, until time.Duration) {
	if *x == nil {
		*x = formerRoutes{}
	}
	if (*x)[e] == nil {
		(*x)[e] = map[ServiceKey]time.Duration{}
	}
	if old, known := (*x)[e][s]; !known || until > old {
		(*x)[e][s] = until
	}
}

// has reports whether the service is known as a former one of the address.
func (x formerRoutes) has(e Endpoint, s ServiceKey) bool {
	_, ok := x[e][s]
	return ok
}

// noteChange notes the services to which routes lead in the old configuration and not in the new
// one. It reports whether there are any.
func (x *formerRoutes) noteChange(old, c *Configuration, now time.Duration) (changed bool) {
	if old == nil {
		return false
	}
	for e, r := range old.Routes {
		for _, s := range r.Shares {
			if !slices.ContainsFunc(c.Routes[e].Shares, func(o Share) bool { return o.Service == s.Service }) {
				x.add(e, s.Service, now)
				changed = true
			}
		}
	}
	return changed
}

// expire drops what is older than the lifetime of a flow, and the oldest if there are too many.
func (x formerRoutes) expire(l FlowLifetime, now time.Duration) {
	n := 0
	for e, ss := range x {
		for s, until := range ss {
			if now-until > l.limit() {
				delete(ss, s)
			}
		}
		if n += len(ss); len(ss) == 0 {
			delete(x, e)
		}
	}
	if n <= maxFormerRoutes {
		return
	}
	all := x.list(now)
	slices.SortFunc(all, func(a, b formerRoute) int { return cmp.Compare(b.Age, a.Age) })
	for _, r := range all[:n-maxFormerRoutes] {
		if delete(x[r.Address], r.Service); len(x[r.Address]) == 0 {
			delete(x, r.Address)
		}
	}
}

func (x formerRoutes) list(now time.Duration) (out []formerRoute) {
	for e, ss := range x {
		for s, until := range ss {
			out = append(out, formerRoute{e, s, MillisOf(now - until)})
		}
	}
	return out
}

// append appends the former routes, or some of them that depend on the sender's run.
func (x formerRoutes) append(b []byte, l Life, now time.Duration) []byte {
	all := x.list(now)
	rank := func(r formerRoute) uint64 {
		e := uint64(r.Address.IP)<<16 | uint64(r.Address.Port)
		return fleet.Mix(fleet.Mix(e, uint64(r.Service)), uint64(l))
	}
	slices.SortFunc(all, func(a, b formerRoute) int { return cmp.Compare(rank(a), rank(b)) })
	for i := range all[:min(len(all), maxFormerRoutesSent)] {
		b, _ = binary.Append(b, binary.BigEndian, &all[i]) // a fixed-size struct can't fail
	}
	return b
}

// decodeFormerRoutes decodes the payload of a KindRoutes message.
func decodeFormerRoutes(b []byte) (out []formerRoute, ok bool) {
	if len(b) == 0 || len(b)%formerRouteLen != 0 || len(b) > maxFormerRoutesSent*formerRouteLen {
		return nil, false
	}
	out = make([]formerRoute, len(b)/formerRouteLen)
	_, err := binary.Decode(b, binary.BigEndian, out)
	return out, err == nil
}

// sendFormerRoutes tells a balancer that has started recently to which services routes led before,
// if this balancer is one of the formerRoutesSenders that rank highest for it.
func (b *Balancer) sendFormerRoutes(to IP, now time.Duration) {
	b.former.expire(b.FlowLifetime, now)
	if len(b.former) == 0 {
		return
	}
	higher, own := 0, score(uint64(to), b.Self)
	for _, ip := range b.aliveBalancers(now) {
		if ip != to && score(uint64(to), ip) > own {
			higher++
		}
	}
	if higher >= formerRoutesSenders {
		return
	}
	b.send(b.former.append(b.scratch[:HeaderLen], b.Life, now), Message{Kind: KindRoutes}, to)
}

// handleFormerRoutes adds the former routes that another balancer knows.
func (b *Balancer) handleFormerRoutes(p []byte, now time.Duration) {
	rs, ok := decodeFormerRoutes(p)
	if !ok {
		b.Count.BadMessages++
		return
	}
	for _, r := range rs {
		b.former.add(r.Address, r.Service, now-r.Age.Duration())
	}
	b.former.expire(b.FlowLifetime, now)
}

// noteConfigurationChange notes where routes led before, and tells it to balancers that started
// within the lifetime of a flow. They may have started with the new configuration.
func (b *Balancer) noteConfigurationChange(old, c *Configuration) {
	now := b.lastActive
	if b.former.noteChange(old, c, now) {
		b.sendFormerRoutesToNew(now)
	}
}

// sendFormerRoutesToNew tells the balancers that started within the lifetime of a flow to which services
// routes led before.
func (b *Balancer) sendFormerRoutesToNew(now time.Duration) {
	for ip, p := range b.peers {
		if now-p.lifeSince <= b.FlowLifetime.limit() {
			b.sendFormerRoutes(ip, now)
		}
	}
}

// agentsOf returns the agents of the services to which the address leads or has led within the
// lifetime of a flow.
func (b *Balancer) agentsOf(e Endpoint, now time.Duration) (lists [][]*agentView) {
	shares := b.config.Routes[e].Shares
	for _, s := range shares {
		lists = append(lists, b.agents.byService[s.Service])
	}
	for s, until := range b.former[e] {
		if now-until <= b.FlowLifetime.limit() && !slices.ContainsFunc(shares, func(o Share) bool { return o.Service == s }) {
			lists = append(lists, b.agents.byService[s])
		}
	}
	return lists
}
