package bundle

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Limits that a valid bundle must keep.
const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxQueueLength = 100_000
	maxNameLength  = 63
	maxIdle        = 10 * time.Second // see the defaults of Timeouts
)

// check adds a finding for every value that decodes but is not valid.
func (d *decoder) check(b *Bundle) {
	d.checkKeys(b)
	d.checkZones(b)
	d.checkServices(b)
	d.checkTimeouts(b.Timeouts)
}

func (d *decoder) checkKeys(b *Bundle) {
	seen := unique[KeyID]{d: d}
	for n, k := range b.Keys {
		p := fmt.Sprintf("keys[%d]", n)
		seen.add(p+".id", k.ID, k.ID != 0)
		if k.Fingerprint == "" {
			d.add(p+".fingerprint", "is missing; `pomeloway key new` prints it")
		}
	}
	if _, ok := seen.firstUse[b.CurrentKey]; !ok {
		d.add("currentKey", fmt.Sprintf("%d is not the id of any key", b.CurrentKey))
	}
	if len(b.Keys) > 2 {
		d.add("keys", "has more than two keys; retire the oldest")
	}
}

func (d *decoder) checkZones(b *Bundle) {
	ids, names := unique[ZoneID]{d: d}, unique[Name]{d: d}
	for n, z := range b.Zones {
		p := fmt.Sprintf("zones[%d]", n)
		ids.add(p+".id", z.ID, z.ID != 0)
		names.add(p+".name", z.Name, d.checkName(p+".name", z.Name))
		if z.State == "" {
			d.add(p+".state", "is missing; must be in or out")
		}
	}
	if len(b.Zones) == 0 {
		d.add("zones", "must list at least one availability zone")
	}
}

func (d *decoder) checkServices(b *Bundle) {
	ids, names, addrs := unique[ServiceID]{d: d}, unique[Name]{d: d}, unique[netip.AddrPort]{d: d}
	for n := range b.Services {
		s := &b.Services[n]
		p := fmt.Sprintf("services[%d]", n)
		ids.add(p+".id", s.ID, s.ID != 0)
		names.add(p+".name", s.Name, d.checkName(p+".name", s.Name))
		addrs.add(p+".address", s.Address, s.Address.IsValid() && s.Address.Port() != 0)
		if s.Protocol == "" {
			d.add(p+".protocol", "is missing; must be h3")
		}
		d.checkLimits(p+".upstreams", s.Upstreams)
		d.checkRoutes(p, s.Routes)
	}
}

func (d *decoder) checkLimits(p string, l Limits) {
	d.checkRange(p+".slots", l.Slots, 1, maxSlots)
	d.checkRange(p+".connections", l.Connections, 1, maxConnections)
	d.checkRange(p+".queue", l.Queue, 0, maxQueueLength)
	if l.ShedStatus != 0 {
		d.checkRange(p+".shedStatus", l.ShedStatus, 400, 599)
	}
	d.checkRange(p+".coldStart.slots", l.ColdStart.Slots, 1, max(l.Slots, 1))
	d.checkRange(p+".coldStart.answers", l.ColdStart.Answers, 1, maxQueueLength)
}

func (d *decoder) checkRoutes(p string, rs []Route) {
	seen := unique[string]{d: d}
	for n, r := range rs {
		at := fmt.Sprintf("%s.routes[%d]", p, n)
		seen.add(at+".prefix", r.Prefix, strings.HasPrefix(r.Prefix, "/"))
		if r.Holds == "" {
			d.add(at+".holds", "is missing; must be slot or connection")
		}
	}
}

func (d *decoder) checkTimeouts(t Timeouts) {
	all := map[string]time.Duration{
		"request": t.Request, "queue": t.Queue, "keepAlive": t.KeepAlive,
		"idle": t.Idle, "orderKey": t.OrderKey, "zoneOutRun": t.ZoneOutRun,
	}
	for _, name := range []string{"request", "queue", "keepAlive", "idle", "orderKey", "zoneOutRun"} {
		if all[name] < 0 {
			d.add("timeouts."+name, "is negative")
		}
	}
	t = t.OrDefault()
	if t.Idle > maxIdle {
		d.add("timeouts.idle", fmt.Sprintf("%v is more than %v: a silent path would be detected too late", t.Idle, maxIdle))
	}
	if t.KeepAlive*2 > t.Idle {
		d.add("timeouts.keepAlive", fmt.Sprintf("%v is more than half of idle %v: one lost probe would close a flow", t.KeepAlive, t.Idle))
	}
}

// checkRange adds a finding unless v is between low and high, both included.
func (d *decoder) checkRange(path string, v, low, high int) {
	if v < low || v > high {
		d.add(path, fmt.Sprintf("%d is not between %d and %d", v, low, high))
	}
}

// checkName reports whether the name is valid and adds a finding if it is not.
func (d *decoder) checkName(path string, n Name) bool {
	ok := n != "" && len(n) <= maxNameLength
	for _, r := range n {
		ok = ok && (r == '-' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9')
	}
	if !ok {
		d.add(path, fmt.Sprintf("%q must be 1 to %d characters of a-z, 0-9 and -", n, maxNameLength))
	}
	return ok
}

// unique detects ids, names and addresses that are used more than once.
type unique[K comparable] struct {
	d        *decoder
	firstUse map[K]string // the path of each key's first use
}

// add adds a finding if k is not valid or was added before. An invalid name adds
// none because checkName has reported it.
func (u *unique[K]) add(path string, k K, valid bool) {
	if !valid {
		if _, ok := any(k).(Name); !ok {
			u.d.add(path, fmt.Sprintf("%q is missing or not valid", fmt.Sprint(k)))
		}
		return
	}
	if first, ok := u.firstUse[k]; ok {
		u.d.add(path, fmt.Sprintf("%v is already used by %s", k, first))
		return
	}
	if u.firstUse == nil {
		u.firstUse = map[K]string{}
	}
	u.firstUse[k] = path
}
