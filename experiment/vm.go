package experiment

import (
	"cmp"
	"slices"
	"time"

	"pomeloway.example/pomeloway/datagram"
)

// size is the processing and network capacity of a VM. The zero value has no limits.
type size struct {
	// messageTime is the processor time for receiving or sending a message.
	cost time.Duration
	// bandwidth is the capacity of the VM's link in bytes per second, in each direction.
	link float64
}

// limited reports whether the VM has any limit.
func (s size) bounded() bool { return s != size{} }

// lookupRate returns the rate limit for lookups that a real node derives from the same
// limits for its balancer; 0 if there are none.
func (s size) lookupRate() float64 {
	cores := 0.0
	if s.cost > 0 {
		cores = float64(wholeCost) / float64(s.cost)
	}
	return datagram.LookupRate(cores, s.link/bytesOfMegabit)
}

const (
	// fullCoreMessageTime is the processor time for a message on a full core.
	wholeCost = 40 * time.Microsecond
	// maxReceiveQueue is the length of each receive queue; further datagrams are dropped.
	unreadMost = 500
	// maxCallerWait is how long a caller's datagram may wait for the processor before it
	// is dropped.
	callersPatience = 100 * time.Millisecond
	// linkMessagesPerCaller is how many messages of the fleet are processed before one
	// of a caller.
	linkTurn = 8
	// maxLinkWait limits the queue of a link: datagrams that would wait longer are dropped.
	queuedMost = 100 * time.Millisecond
)

// linkDirection is one direction of a link, which is busy until freeAt.
type lane struct{ free time.Duration }

// enqueue adds a datagram to the queue of the link. It returns the time until the datagram
// has been transmitted, or false if it is dropped.
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

// class is the scheduling class of a job.
type class uint8

const (
	// classSend is for sending. It has priority over all other jobs, so that the results
	// of a job are sent before the next job starts.
	classSend class = iota
	// classLink is for messages from the fleet.
	classLink
	// classCaller is for datagrams from callers.
	classCaller
	classEnd // number of classes
)

// job is a task that waits for the processor.
type job struct {
	came time.Duration
	do   func()
}

// machine simulates the processor and the link of a VM.
type machine struct {
	w       *world
	size    size
	life    int // increases with each start and stop, so that callbacks of an earlier run are ignored
	waiting [classEnd][]job
	working bool
	turn    int // messages of the fleet since the last one of a caller
	in, out lane
	// outbox holds the datagrams sent at the current time. They are sorted by destination
	// before they are sent, as the code under test sends in the random order of a map.
	outbox []sending
}

// outgoing is a datagram in the outbox.
type sending struct {
	to   datagram.IP
	b    []byte
	send func([]byte)
}

// beginLife resets the machine for a new start, with empty queues.
func (v *machine) begin() {
	v.life++
	v.waiting, v.working, v.turn = [classEnd][]job{}, false, 0
	v.in, v.out, v.outbox = lane{}, lane{}, nil
}

// enqueueSend queues a datagram for the processor and the link, and then sends it.
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

// flush queues the datagrams of the outbox for the processor.
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

// enqueueReceived queues a datagram that arrives at the VM for the link and the processor,
// which then calls f. The datagram is dropped if either queue is full.
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

// submit queues f for the processor.
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

// runNext runs the next job and schedules another call while jobs wait.
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

// dropExpired drops datagrams of callers that have waited too long.
func (v *machine) dropOld() {
	w := v.waiting[classCaller]
	for len(w) > 0 && v.w.now-w[0].came >= callersPatience {
		w = w[1:]
	}
	v.waiting[classCaller] = w
}

// nextClass returns the class of the next job, or false if no job waits.
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

// afterInLife calls f after d, unless the process has been stopped by then.
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
