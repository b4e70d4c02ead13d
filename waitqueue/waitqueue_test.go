package waitqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func always[T any](*Entry[T]) bool { return true }

// drain takes all entries out at the given time and returns their values.
func drain(q *Queue[string], now, d time.Duration) (out []string) {
	for e := q.Next(now, d, always); e != nil; e = q.Next(now, d, always) {
		q.Remove(e)
		out = append(out, e.Value)
	}
	return out
}

// Guards against places that go to what is late, or to what is less urgent, while something else
// can be in time.
func TestOrder(t *testing.T) {
	entries := []Entry[string]{
		{Value: "a", Priority: Normal, Since: 1 * ms, Due: 300 * ms},
		{Value: "b", Priority: Normal, Since: 2 * ms, Due: 200 * ms},
		{Value: "urgent", Priority: Urgent, Since: 3 * ms, Due: 900 * ms},
		{Value: "late urgent", Priority: Urgent, Since: 4 * ms, Due: 120 * ms},
		{Value: "late", Priority: Normal, Since: 5 * ms, Due: 110 * ms},
		{Value: "c", Priority: Normal, Since: 6 * ms, Due: Never},
		{Value: "later", Priority: Normal, Since: 7 * ms, Due: 90 * ms},
	}
	for name, x := range map[string]struct {
		order Order
		now   time.Duration
		want  []string
	}{
		"least time left": {LeastTimeLeft, 100 * ms, []string{"urgent", "b", "a", "c", "late urgent", "later", "late"}},
		"newest first":    {NewestFirst, 100 * ms, []string{"urgent", "c", "b", "a", "late urgent", "later", "late"}},
		"oldest first":    {OldestFirst, 100 * ms, []string{"urgent", "a", "b", "c", "late urgent", "later", "late"}},
		"nothing is late": {LeastTimeLeft, 10 * ms, []string{"late urgent", "urgent", "later", "late", "b", "a", "c"}},
		"all are late":    {LeastTimeLeft, time.Second, []string{"c", "late urgent", "urgent", "later", "late", "b", "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			q := Queue[string]{Order: x.order}
			for _, e := range entries {
				if q.Push(e, Never) == nil {
					t.Fatal("an entry was not accepted")
				}
			}
			if got := drain(&q, x.now, 50*ms); !slices.Equal(got, x.want) {
				t.Errorf("order %q, want %q", got, x.want)
			}
			if q.Len() != 0 || q.Bytes() != 0 || q.Length(Urgent) != 0 || q.Length(Normal) != 0 {
				t.Errorf("the queue is not empty: %+v", q)
			}
		})
	}
}

// Guards against an entry that can't be placed and keeps those behind it from their places.
func TestEntryThatHasNoPlaceIsSkipped(t *testing.T) {
	var q Queue[string]
	q.Push(Entry[string]{Value: "a", Due: 100 * ms}, Never)
	q.Push(Entry[string]{Value: "b", Due: 200 * ms}, Never)
	if e := q.Next(0, 0, func(e *Entry[string]) bool { return e.Value != "a" }); e == nil || e.Value != "b" {
		t.Errorf("got %+v, want b", e)
	}
}

// Guards against a queue without bound, and against a full one that stays full.
func TestBounds(t *testing.T) {
	for name, x := range map[string]struct{ size, want int }{
		"entries":   {1, MaxEntries},
		"bytes":     {MaxBytes / 4, 4},
		"no size":   {0, MaxEntries},
		"too large": {MaxBytes + 1, 0},
		"negative":  {-1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var q Queue[int]
			for i := range 2 * MaxEntries {
				if q.Push(Entry[int]{Value: i, Size: x.size}, Never) == nil {
					break
				}
			}
			if q.Len() != x.want || q.Bytes() != x.want*x.size {
				t.Fatalf("%d entries of %d bytes, want %d", q.Len(), q.Bytes(), x.want)
			}
			if x.want == 0 {
				return
			}
			q.Remove(q.Next(0, 0, always))
			if q.Push(Entry[int]{Size: x.size}, Never) == nil {
				t.Error("a queue that was full takes nothing more")
			}
		})
	}
}

// Guards against a priority that is not one.
func TestUnknownPriorityIsRefused(t *testing.T) {
	var q Queue[int]
	if q.Push(Entry[int]{Priority: PriorityCount}, Never) != nil {
		t.Error("an entry with an unknown priority was accepted")
	}
}

// Guards against entries that never expire, or that expire although they were extended.
func TestExpiry(t *testing.T) {
	var q Queue[string]
	a := q.Push(Entry[string]{Value: "a"}, 50*ms)
	b := q.Push(Entry[string]{Value: "b"}, 40*ms)
	if at := q.NextExpiry(); at != 40*ms {
		t.Errorf("next expiry at %v, want 40ms", at)
	}
	q.Extend(b, 90*ms)
	if e := q.Expired(49 * ms); e != nil {
		t.Errorf("%s expired at 49ms", e.Value)
	}
	if at := q.NextExpiry(); at != 50*ms {
		t.Errorf("next expiry at %v, want 50ms", at)
	}
	if e := q.Expired(50 * ms); e != a {
		t.Errorf("%+v expired at 50ms, want a", e)
	}
	q.Remove(a)
	if e := q.Expired(60 * ms); e != nil {
		t.Errorf("%s expired at 60ms", e.Value)
	}
	if e := q.Expired(90 * ms); e != b {
		t.Errorf("%+v expired at 90ms, want b", e)
	}
	q.Remove(b)
	if q.NextExpiry() != Never || q.Remove(b) || q.Remove(nil) {
		t.Error("the queue is not empty, or an entry was removed twice")
	}
}

// modelEntry is an entry of a plain sorted list, the model of a queue.
type modelEntry struct {
	id, size   int
	priority   Priority
	since, due time.Duration
	expires    time.Duration
	late       bool // at the time of sorting
}

// modelOrder compares two entries as the documentation of the package says.
func modelOrder(o Order) func(a, b modelEntry) int {
	return func(a, b modelEntry) int {
		n := 0
		switch {
		case a.late != b.late:
			n = map[bool]int{true: 1, false: -1}[a.late]
		case a.priority != b.priority:
			n = int(a.priority) - int(b.priority)
		case a.late || o == NewestFirst:
			n = b.id - a.id
		case o == LeastTimeLeft && a.due != b.due:
			n = int(max(-1, min(a.due-b.due, 1)))
		default:
			n = a.id - b.id
		}
		return n
	}
}

// Guards against entries that are lost, released twice or in a wrong order, whatever happens to
// the others: compares random sequences of operations with a sorted list.
func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]Order{LeastTimeLeft, NewestFirst, OldestFirst}).Draw(t, "order")
		q := Queue[int]{Order: order}
		var model []modelEntry
		handles := map[int]*Entry[int]{}
		var now time.Duration
		next, released := 0, map[int]bool{}
		duration := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.IntRange(0, int(most/ms)).Draw(t, name)) * ms
		}
		take := func(e *Entry[int]) {
			if released[e.Value] {
				t.Fatalf("entry %d was released twice", e.Value)
			}
			released[e.Value] = true
			if !e.Queued() || !q.Remove(e) || q.Remove(e) || e.Queued() {
				t.Fatalf("entry %d can't be removed exactly once", e.Value)
			}
			model = slices.DeleteFunc(model, func(m modelEntry) bool { return m.id == e.Value })
		}
		push := func(*rapid.T) {
			m := modelEntry{
				id: next, size: rapid.IntRange(0, MaxBytes/20).Draw(t, "size"),
				priority: Priority(rapid.IntRange(0, int(PriorityCount)-1).Draw(t, "priority")),
				since:    now, due: now + duration("target", 500*ms), expires: now + duration("patience", 500*ms),
			}
			if rapid.IntRange(0, 4).Draw(t, "hasTarget") == 0 {
				m.due = Never
			}
			next++
			bytes := m.size
			for _, x := range model {
				bytes += x.size
			}
			e := q.Push(Entry[int]{Value: m.id, Priority: m.priority, Size: m.size, Since: m.since, Due: m.due}, m.expires)
			if accepted := len(model) < MaxEntries && bytes <= MaxBytes; accepted != (e != nil) {
				t.Fatalf("accepted: %v, want %v", e != nil, accepted)
			}
			if e != nil {
				model, handles[m.id] = append(model, m), e
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push,
			"push many": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "n") {
					push(t)
				}
			},
			"wait": func(*rapid.T) { now += duration("wait", 100*ms) },
			"extend": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip("empty")
				}
				i := rapid.IntRange(0, len(model)-1).Draw(t, "i")
				at := now + duration("patience", 500*ms)
				q.Extend(handles[model[i].id], at)
				model[i].expires = max(model[i].expires, at)
			},
			"remove": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip("empty")
				}
				take(handles[model[rapid.IntRange(0, len(model)-1).Draw(t, "i")].id])
			},
			"next": func(t *rapid.T) {
				d := duration("response", 300*ms)
				odd := rapid.Bool().Draw(t, "oddOnly")
				ok := func(id int) bool { return !odd || id%2 == 1 }
				sorted := slices.Clone(model)
				for i := range sorted {
					sorted[i].late = sorted[i].due-now < d
				}
				slices.SortFunc(sorted, modelOrder(order))
				sorted = slices.DeleteFunc(sorted, func(m modelEntry) bool { return !ok(m.id) })
				e := q.Next(now, d, func(e *Entry[int]) bool { return ok(e.Value) })
				switch {
				case len(sorted) == 0 && e != nil:
					t.Fatalf("next is %d, want none", e.Value)
				case len(sorted) > 0 && (e == nil || e.Value != sorted[0].id):
					t.Fatalf("next is %+v, want %d", e, sorted[0].id)
				case e != nil:
					take(e)
				}
			},
			"expire": func(t *rapid.T) {
				for e := q.Expired(now); e != nil; e = q.Expired(now) {
					if i := slices.IndexFunc(model, func(m modelEntry) bool { return m.id == e.Value }); i < 0 || model[i].expires > now {
						t.Fatalf("entry %d expired too early", e.Value)
					}
					take(e)
				}
				if slices.ContainsFunc(model, func(m modelEntry) bool { return m.expires <= now }) {
					t.Fatal("an entry that has expired is left")
				}
			},
			"": func(t *rapid.T) {
				bytes, lengths, expiry := 0, [PriorityCount]int{}, Never
				for _, m := range model {
					bytes += m.size
					lengths[m.priority]++
					expiry = min(expiry, m.expires)
					if !handles[m.id].Queued() {
						t.Fatalf("entry %d is lost", m.id)
					}
				}
				if q.Len() != len(model) || q.Bytes() != bytes || q.Length(Urgent) != lengths[Urgent] || q.Length(Normal) != lengths[Normal] {
					t.Fatalf("%d entries and %d bytes, want %d and %d", q.Len(), q.Bytes(), len(model), bytes)
				}
				if q.NextExpiry() > expiry {
					t.Fatalf("next expiry at %v, after %v", q.NextExpiry(), expiry)
				}
			},
		})
	})
}

// Guards against a queue whose search for the next entry delays packets: an agent does it with
// each packet while something waits.
func BenchmarkNext(b *testing.B) {
	var q Queue[int]
	for i := range MaxEntries {
		q.Push(Entry[int]{Value: i, Priority: Normal, Since: time.Duration(i) * ms, Due: time.Duration(i*7%MaxEntries) * ms}, Never)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Next(200*ms, 50*ms, always)
	}
}
