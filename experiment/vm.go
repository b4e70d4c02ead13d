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
	messageTime time.Duration
	// bandwidth is the capacity of the VM's link in each direction, in bytes per second.
	bandwidth float64
}

// limited reports whether the VM has any limit.
func (s size) limited() bool { return s != size{} }

// lookupRate returns the rate limit for lookups that a real node derives from the same
// limits for its balancer; 0 if there are none.
func (s size) lookupRate() float64 {
	cores := 0.0
	if s.messageTime > 0 {
		cores = float64(fullCoreMessageTime) / float64(s.messageTime)
	}
	return datagram.LookupRate(cores, s.bandwidth/bytesPerMegabit)
}

const (
	// fullCoreMessageTime is the processor time for a message on a full core.
	fullCoreMessageTime = 40 * time.Microsecond
	// maxReceiveQueue is the length of each receive queue; further datagrams are dropped.
	maxReceiveQueue = 500
	// maxCallerWait is how long a caller's datagram may wait for the processor before it
	// is dropped.
	maxCallerWait = 100 * time.Millisecond
	// linkMessagesPerCaller is how many messages of the fleet are processed before one
	// of a caller.
	linkMessagesPerCaller = 8
	// maxLinkWait limits the queue of a link: datagrams that would wait longer are dropped.
	maxLinkWait = 100 * time.Millisecond
)

// linkDirection is one direction of a link, which is busy until freeAt.
type linkDirection struct{ freeAt time.Duration }

// enqueue adds a datagram to the queue of the link. It returns the time until the datagram
// has been transmitted, or false if it is dropped.
func (l *linkDirection) enqueue(now time.Duration, bytes int, rate float64) (time.Duration, bool) {
	if rate == 0 {
		return 0, true
	}
	start := max(l.freeAt, now)
	if start-now > maxLinkWait {
		return 0, false
	}
	l.freeAt = start + time.Duration(float64(bytes)/rate*float64(time.Second))
	return l.freeAt - now, true
}

// class is the scheduling class of a job.
type class uint8

const (
	// classSend is for sending. It has priority over all other jobs, so that the results
	// of a job are sent before the next job starts.
	classSend class = iota
	// classLink is for messages from other VMs of the fleet.
	classLink
	// classCaller is for datagrams from callers.
	classCaller
	classCount // number of classes
)

// job is a task that waits for the processor.
type job struct {
	queuedAt time.Duration
	do       func()
}

// machine simulates the processor and the link of a VM.
type machine struct {
	w                 *simulation
	size              size
	life              int // increases with each start and stop, so that callbacks of an earlier run are ignored
	queues            [classCount][]job
	busy              bool
	linkStreak        int // messages of the fleet since the last one of a caller
	inbound, outbound linkDirection
	// outbox holds the datagrams sent at the current time. They are sorted by destination
	// before they are sent, as the code under test sends in the random order of a map.
	outbox []outgoing
}

// outgoing is a datagram in the outbox.
type outgoing struct {
	to   datagram.IP
	b    []byte
	send func([]byte)
}

// beginLife resets the machine for a new start, with empty queues.
func (v *machine) beginLife() {
	v.life++
	v.queues, v.busy, v.linkStreak = [classCount][]job{}, false, 0
	v.inbound, v.outbound, v.outbox = linkDirection{}, linkDirection{}, nil
}

// enqueueSend queues a datagram for the processor and the link, and then sends it.
func (v *machine) enqueueSend(to datagram.IP, b []byte, send func([]byte)) {
	if !v.size.limited() {
		send(b)
		return
	}
	if len(v.outbox) == 0 {
		v.afterInLife(0, v.flush)
	}
	v.outbox = append(v.outbox, outgoing{to, append([]byte(nil), b...), send})
}

// flush queues the datagrams of the outbox for the processor.
func (v *machine) flush() {
	out := v.outbox
	v.outbox = nil
	slices.SortStableFunc(out, func(a, b outgoing) int { return cmp.Compare(a.to, b.to) })
	for _, x := range out {
		v.submit(classSend, func() {
			if wait, ok := v.outbound.enqueue(v.w.now, len(x.b)+ipUDPHeaderLen, v.size.bandwidth); ok {
				v.afterInLife(wait, func() { x.send(x.b) })
			}
		})
	}
}

// enqueueReceived queues a datagram that arrives at the VM for the link and the processor,
// which then calls f. The datagram is dropped if either queue is full.
func (v *machine) enqueueReceived(c class, bytes int, f func()) {
	wait, ok := v.inbound.enqueue(v.w.now, bytes+ipUDPHeaderLen, v.size.bandwidth)
	if !ok {
		return
	}
	v.afterInLife(wait, func() {
		if len(v.queues[c]) < maxReceiveQueue {
			v.submit(c, f)
		}
	})
}

// submit queues f for the processor.
func (v *machine) submit(c class, f func()) {
	if v.size.messageTime == 0 {
		f()
		return
	}
	v.queues[c] = append(v.queues[c], job{v.w.now, f})
	if !v.busy {
		v.busy = true
		v.afterInLife(v.size.messageTime, v.runNext)
	}
}

// runNext runs the next job, and schedules another call while jobs wait.
func (v *machine) runNext() {
	if c, ok := v.nextClass(); ok {
		f := v.queues[c][0].do
		v.queues[c] = v.queues[c][1:]
		f()
	}
	v.dropExpired()
	if len(v.queues[classSend])+len(v.queues[classLink])+len(v.queues[classCaller]) == 0 {
		v.busy = false
		return
	}
	v.afterInLife(v.size.messageTime, v.runNext)
}

// dropExpired drops datagrams of callers that have waited too long.
func (v *machine) dropExpired() {
	w := v.queues[classCaller]
	for len(w) > 0 && v.w.now-w[0].queuedAt >= maxCallerWait {
		w = w[1:]
	}
	v.queues[classCaller] = w
}

// nextClass returns the class of the next job, or false if no job waits.
func (v *machine) nextClass() (class, bool) {
	switch {
	case len(v.queues[classSend]) > 0:
		return classSend, true
	case len(v.queues[classLink]) > 0 && (len(v.queues[classCaller]) == 0 || v.linkStreak < linkMessagesPerCaller):
		v.linkStreak++
		return classLink, true
	}
	v.linkStreak = 0
	return classCaller, len(v.queues[classCaller]) > 0
}

// afterInLife calls f after d, unless the process has been stopped by then.
func (v *machine) afterInLife(d time.Duration, f func()) {
	if d == 0 && !v.size.limited() {
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
