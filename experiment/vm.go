package experiment

import (
	"cmp"
	"slices"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// size is what a VM can do. The zero value is without bounds.
type size struct {
	// cost is what a message that is taken or sent costs of the processor.
	cost time.Duration
	// link is the bytes a second of either direction of the VM's link.
	link float64
}

func (s size) bounded() bool { return s != size{} }

// lookupRate is what the node works out of the same bounds for its balancer; 0 if there
// are none.
func (s size) lookupRate() float64 {
	cores := 0.0
	if s.cost > 0 {
		cores = float64(wholeCost) / float64(s.cost)
	}
	return datagram.LookupRate(cores, s.link/bytesOfMegabit)
}

const (
	// wholeCost is what a message costs of a whole core.
	wholeCost = 40 * time.Microsecond
	// unreadMost are the datagrams that wait for a processor before more are dropped, and
	// callersPatience is how long those of callers wait.
	unreadMost      = 500
	callersPatience = 100 * time.Millisecond
	// linkTurn is how many of the fleet's own messages go before one of a caller.
	linkTurn = 8
	// queuedMost is the time that datagrams wait for a link before more are dropped.
	queuedMost = 100 * time.Millisecond
)

// lane is one direction of a link.
type lane struct{ free time.Duration }

// pass returns how long a datagram waits until it is through, and false if it is dropped.
func (l *lane) pass(now time.Duration, bytes int, rate float64) (time.Duration, bool) {
	if rate == 0 {
		return 0, true
	}
	begin := max(l.free, now)
	if begin-now > queuedMost {
		return 0, false
	}
	l.free = begin + time.Duration(float64(bytes)/rate*float64(time.Second))
	return l.free - now, true
}

// class orders the work of a processor.
type class uint8

const (
	// classSend: what was handled is sent before anything else is.
	classSend class = iota
	classLink
	classCaller
	classEnd
)

// job is something for a processor to do.
type job struct {
	came time.Duration
	do   func()
}

// machine is a VM with a processor and a link.
type machine struct {
	w       *world
	size    size
	life    int
	waiting [classEnd][]job
	working bool
	turn    int // messages of the fleet since the last of a caller
	in, out lane
	// outbox is what it sends at this moment, which is sent in an order of its own, as
	// members are told in that of a map.
	outbox []sending
}

// sending is a datagram on its way out.
type sending struct {
	to   datagram.IP
	b    []byte
	send func([]byte)
}

// begin starts a life with nothing to do.
func (v *machine) begin() {
	v.life++
	v.waiting, v.working, v.turn = [classEnd][]job{}, false, 0
	v.in, v.out, v.outbox = lane{}, lane{}, nil
}

// post sends a datagram when processor and link get to it.
func (v *machine) post(to datagram.IP, b []byte, send func([]byte)) {
	if !v.size.bounded() {
		send(b)
		return
	}
	if len(v.outbox) == 0 {
		v.later(0, v.flush)
	}
	v.outbox = append(v.outbox, sending{to, append([]byte(nil), b...), send})
}

func (v *machine) flush() {
	out := v.outbox
	v.outbox = nil
	slices.SortStableFunc(out, func(a, b sending) int { return cmp.Compare(a.to, b.to) })
	for _, x := range out {
		v.work(classSend, func() {
			if wait, ok := v.out.pass(v.w.now, len(x.b)+packetHeaders, v.size.link); ok {
				v.later(wait, func() { x.send(x.b) })
			}
		})
	}
}

// take has the VM handle a datagram that has arrived at its link, unless too many wait.
func (v *machine) take(c class, bytes int, f func()) {
	wait, ok := v.in.pass(v.w.now, bytes+packetHeaders, v.size.link)
	if !ok {
		return
	}
	v.later(wait, func() {
		if len(v.waiting[c]) < unreadMost {
			v.work(c, f)
		}
	})
}

// work has the processor do something, in its turn.
func (v *machine) work(c class, f func()) {
	if v.size.cost == 0 {
		f()
		return
	}
	v.waiting[c] = append(v.waiting[c], job{v.w.now, f})
	if !v.working {
		v.working = true
		v.later(v.size.cost, v.next)
	}
}

// next does what is first, and goes on while something waits.
func (v *machine) next() {
	if c, ok := v.first(); ok {
		f := v.waiting[c][0].do
		v.waiting[c] = v.waiting[c][1:]
		f()
	}
	v.dropOld()
	if len(v.waiting[classSend])+len(v.waiting[classLink])+len(v.waiting[classCaller]) == 0 {
		v.working = false
		return
	}
	v.later(v.size.cost, v.next)
}

// dropOld drops callers' datagrams that have waited too long.
func (v *machine) dropOld() {
	w := v.waiting[classCaller]
	for len(w) > 0 && v.w.now-w[0].came >= callersPatience {
		w = w[1:]
	}
	v.waiting[classCaller] = w
}

// first returns the class of what is next; false if nothing waits.
func (v *machine) first() (class, bool) {
	switch {
	case len(v.waiting[classSend]) > 0:
		return classSend, true
	case len(v.waiting[classLink]) > 0 && (len(v.waiting[classCaller]) == 0 || v.turn < linkTurn):
		v.turn++
		return classLink, true
	}
	v.turn = 0
	return classCaller, len(v.waiting[classCaller]) > 0
}

// later does something after a while unless this life has ended.
func (v *machine) later(d time.Duration, f func()) {
	if d == 0 && !v.size.bounded() {
		f()
		return
	}
	life := v.life
	v.w.after(d, func() {
		if v.life == life {
			f()
		}
	})
}
