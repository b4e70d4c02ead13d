package datagram

import (
	"testing"
	"time"
)

// Guards against openings that are accepted although their requests would be late, or declined
// although a fast upstream answers them in time, and against limits that change for routes
// without a target latency or upstreams without an estimate of their service time.
func TestLimitsAreDerivedFromTime(t *testing.T) {
	const known, left = 30 * time.Millisecond, 300 * time.Millisecond
	at := func(n int) load { return load{requests: n, slots: 2, serviceTime: known, left: left} }
	for name, x := range map[string]struct {
		priority Priority
		load     load
		want     bool
	}{
		"first, below the fixed limit":             {PriorityFirst, at(3), false},
		"first, at the fixed limit":                {PriorityFirst, at(4), true},
		"first, slow upstream":                     {PriorityFirst, load{requests: 3, slots: 2, serviceTime: 200 * time.Millisecond, left: left}, true},
		"first, slow upstream with a free slot":    {PriorityFirst, load{requests: 1, slots: 2, serviceTime: 200 * time.Millisecond, left: left}, false},
		"repeated, time left":                      {PriorityRepeated, at(8), false},
		"repeated, less time left":                 {PriorityRepeated, at(11), true},
		"repeated, upstream full":                  {PriorityRepeated, load{requests: 8, slots: 2, serviceTime: known, left: left, full: true}, true},
		"repeated, free slot":                      {PriorityRepeated, load{requests: 1, slots: 2, serviceTime: known, left: 8 * time.Millisecond}, false},
		"repeated, no target":                      {PriorityRepeated, load{requests: 4, slots: 2, serviceTime: known}, true},
		"repeated, no target, below the limit":     {PriorityRepeated, load{requests: 3, slots: 2, serviceTime: known}, false},
		"repeated, service time unknown":           {PriorityRepeated, load{requests: 4, slots: 2, left: left}, true},
		"urgent, time left":                        {PriorityUrgent, at(17), false},
		"urgent, less time left":                   {PriorityUrgent, at(20), true},
		"urgent, service time unknown":             {PriorityUrgent, load{requests: 5, slots: 2, left: left}, false},
		"urgent, service time unknown, at limit":   {PriorityUrgent, load{requests: 6, slots: 2, left: left}, true},
		"late, free slot":                          {PriorityLate, at(1), false},
		"late, no free slot":                       {PriorityLate, at(2), true},
		"late and urgent, below the fixed limit":   {PriorityLateUrgent, at(2), false},
		"late and urgent, at the fixed limit":      {PriorityLateUrgent, at(3), true},
		"priority of a later build, some requests": {priorityEnd, at(5), false},
	} {
		t.Run(name, func(t *testing.T) {
			x.load.limit = x.priority.limit()
			if got := x.priority.declines(x.load); got != x.want {
				t.Errorf("declined: %v, want %v", got, x.want)
			}
		})
	}
}
