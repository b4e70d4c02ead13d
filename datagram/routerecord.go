package datagram

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The record of routes in the platform's store. What balancers remember of former routes is lost if
// all of them end at once, and nobody sees a change that is made while none runs. Flows are opened by
// running balancers only, so the services of all open flows are those of the record and those of the
// configuration in force.
//
// A balancer that reads a record can't know when the routes that changed since led to the former
// services last, and takes the time of reading. So a record has no times, and no clock that may
// step matters. A service is dropped from the record by a balancer that has itself run for the
// lifetime of a flow since the route led there.

// RouteRecord has the services to which each address leads, or has led within the lifetime of a flow.
// The services are sorted.
type RouteRecord map[Endpoint][]ServiceKey

// add adds a service of an address.
func (r RouteRecord) add(e Endpoint, s ServiceKey) {
	if !slices.Contains(r[e], s) {
		r[e] = append(r[e], s)
	}
}

// lacks reports whether the other record has an address with several services of which this one has only
// some: flows may be open at all of them.
func (r RouteRecord) lacks(o RouteRecord) bool {
	for e, ss := range o {
		if len(ss) < 2 && len(r[e]) == 0 {
			continue
		}
		if slices.ContainsFunc(ss, func(s ServiceKey) bool { return !slices.Contains(r[e], s) }) {
			return true
		}
	}
	return false
}

// equal reports whether the records are the same.
func (r RouteRecord) equal(o RouteRecord) bool {
	return maps.EqualFunc(r, o, func(a, b []ServiceKey) bool { return slices.Equal(a, b) })
}

// ApplyRouteRecord processes the record that belongs to the configuration that was set last. Services
// that this balancer has not seen in a record before, and to which their routes do not lead now, are
// former ones from now on.
func (b *Balancer) ApplyRouteRecord(r RouteRecord, now time.Duration) {
	added := false
	for e, ss := range r {
		for _, s := range ss {
			if !slices.Contains(b.routeRecordSeen[e], s) && !b.leadsTo(e, s) && !b.former.has(e, s) {
				b.former.add(e, s, now)
				added = true
			}
		}
	}
	if !r.equal(b.routeRecordSeen) {
		b.routeRecordChangedAt = now
	}
	b.routeRecordSeen, b.routeRecordRead = r, true
	if added {
		b.former.expire(b.FlowLifetime, now)
		b.sendFormerRoutesToNew(now)
	}
}

// leadsTo reports whether the address leads to the service in the configuration in force.
func (b *Balancer) leadsTo(e Endpoint, s ServiceKey) bool {
	return b.config != nil && slices.ContainsFunc(b.config.Routes[e].Shares, func(x Share) bool { return x.Service == s })
}

// RouteRecordInterval is the minimum time between two changes of the record. A service to which a route has
// moved is recorded at once, as the route may move on before that.
const RouteRecordInterval = time.Second

// RouteRecordDue returns the record that this balancer has to write, if it is one that does so and the
// store has another.
func (b *Balancer) RouteRecordDue(now time.Duration) (RouteRecord, bool) {
	if b.config == nil || !b.routeRecordRead || b.detached || !b.mayWriteRouteRecord(now) {
		return nil, false
	}
	r, seen := b.routeRecord(now), b.routeRecordSeen
	if seen.lacks(r) {
		return r, true
	}
	soon := b.routeRecordChangedAt != 0 && now-b.routeRecordChangedAt < RouteRecordInterval
	return r, b.watching && !soon && !r.equal(seen)
}

// mayWriteRouteRecord reports whether this balancer is one that writes the record: the watcher with the highest
// rank, or, while none has been selected since this balancer started, one of those with the highest ranks among
// the recorded balancers. If all balancers end within that time and a route has moved on meanwhile, none knows
// the service in between.
func (b *Balancer) mayWriteRouteRecord(now time.Duration) bool {
	if b.watching || now >= minWatcherUptime {
		return b.watching && b.rankedBalancers(now)[0] == b.Self
	}
	if !b.membersRead {
		return false
	}
	own, higher := score(watcherKey, b.Self), 0
	for ip := range b.peers {
		if score(watcherKey, ip) > own {
			higher++
		}
	}
	return higher < storeWatchers
}

// routeRecord returns the record as far as this balancer knows.
func (b *Balancer) routeRecord(now time.Duration) RouteRecord {
	r := RouteRecord{}
	for e, x := range b.config.Routes {
		for _, s := range x.Shares {
			r.add(e, s.Service)
		}
	}
	b.former.expire(b.FlowLifetime, now)
	for e, ss := range b.former {
		for s := range ss {
			r.add(e, s)
		}
	}
	for _, ss := range r {
		slices.SortFunc(ss, cmp.Compare[ServiceKey])
	}
	return r
}
