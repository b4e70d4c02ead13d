package capacity

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// median returns the median of the values, which it sorts.
func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// memoryInUse returns the bytes in use on the heap, after garbage collection, and
// on stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// usage is the processor time and traffic used up to a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration
	net float64
}

// readUsage returns the processor time of this process and the bytes received on
// the loopback interface. Every datagram counts once, including IP and UDP headers.
func readUsage() usage {
	var r unix.Rusage
	unix.Getrusage(unix.RUSAGE_SELF, &r)
	return usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), net: loopbackBytes()}
}

// loopbackBytes returns the bytes received on the loopback interface, or zero if
// they can't be read.
func loopbackBytes() float64 {
	b, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		name, rest, ok := strings.Cut(strings.TrimSpace(l), ":")
		if ok && name == "lo" {
			n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return n
		}
	}
	return 0
}

// ratesSince returns the average use since o: processor cores, and bytes per
// second.
func (r usage) ratesSince(o usage) (cores, bytes float64) {
	d := r.at.Sub(o.at).Seconds()
	return (r.cpu - o.cpu).Seconds() / d, (r.net - o.net) / d
}
