package datagram

import (
	"iter"
	"time"
)

// table keeps entries by flow and drops those that were not used for a while.
//
// It has two generations of entries. An entry that is used moves to the young generation.
// At every rotation the old generation is dropped and the young one becomes old. A lookup
// costs one map access, rarely two, and dropping costs nothing per entry. The drawback is
// that ages are not exact: an entry lives between one and two rotation intervals after its
// last use.
type table[V any] struct {
	capacity   int
	rotatedAt  time.Duration
	young, old map[Flow]V
}

func newTable[V any](capacity int) table[V] {
	return table[V]{capacity: capacity, young: map[Flow]V{}, old: map[Flow]V{}}
}

func (t *table[V]) get(f Flow) (V, bool) {
	v, ok := t.young[f]
	if ok {
		return v, true
	}
	if v, ok = t.old[f]; ok {
		t.young[f] = v
		delete(t.old, f)
	}
	return v, ok
}

func (t *table[V]) set(f Flow, v V) {
	delete(t.old, f)
	t.young[f] = v
}

func (t *table[V]) remove(f Flow) {
	delete(t.young, f)
	delete(t.old, f)
}

func (t *table[V]) len() int { return len(t.young) + len(t.old) }

// all iterates over the entries.
func (t *table[V]) all() iter.Seq2[Flow, V] {
	return func(yield func(Flow, V) bool) {
		for _, m := range []map[Flow]V{t.young, t.old} {
			for k, v := range m {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// rotate drops the old generation if the interval is over or the young generation has
// filled half of the capacity. It returns what it dropped, and the time after which none of
// that was used.
func (t *table[V]) rotate(interval, now time.Duration) (dropped map[Flow]V, lastUse time.Duration) {
	if now-t.rotatedAt < interval && len(t.young) < t.capacity/2 {
		return nil, 0
	}
	dropped, lastUse = t.old, t.rotatedAt
	t.rotatedAt, t.old, t.young = now, t.young, make(map[Flow]V, len(t.young))
	return dropped, lastUse
}
