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

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// heapNow returns the live heap in bytes.
func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// reading is what a machine has spent up to a moment.
type reading struct {
	at  time.Time
	cpu time.Duration
	net float64
}

// read returns the process's time on processors and the bytes over loopback.
// Every datagram passes loopback once, headers of IP and UDP included.
func read() reading {
	var r unix.Rusage
	unix.Getrusage(unix.RUSAGE_SELF, &r)
	return reading{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), net: loopbackBytes()}
}

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

// since returns what was spent a second since the earlier reading.
func (r reading) since(o reading) (cores, bytes float64) {
	d := r.at.Sub(o.at).Seconds()
	return (r.cpu - o.cpu).Seconds() / d, (r.net - o.net) / d
}
