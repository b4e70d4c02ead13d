package datagram

import (
	"iter"
	"time"
)

// table keeps entries by flow and forgets those that were not used for a while.
//
// Two maps take turns: what is used moves to the young one, and when the turn
// comes the old one is dropped whole. A lookup costs one map access, seldom two,
// and forgetting costs nothing per entry. Given up: an exact age; an entry lives
// between one and two turns.
type table[V any] struct {
	turn       time.Duration
	most       int
	turned     time.Duration
	young, old map[Flow]V
}

func newTable[V any](turn time.Duration, most int) table[V] {
	return table[V]{turn: turn, most: most, young: map[Flow]V{}, old: map[Flow]V{}}
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

// all returns the entries.
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

// tick drops what was not used for a turn, or the older half of a full table,
// and returns what it dropped.
func (t *table[V]) tick(now time.Duration) map[Flow]V {
	if now-t.turned < t.turn && len(t.young) < t.most/2 {
		return nil
	}
	dropped := t.old
	t.turned, t.old, t.young = now, t.young, make(map[Flow]V, len(t.young))
	return dropped
}
