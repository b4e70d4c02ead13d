package datagram

import (
	"slices"
	"testing"
	"time"
)

// Guards against balancers that started together, read the member records before each other's were
// written, and don't hear of each other for seconds. Such a balancer takes itself for the only home
// of all flows and resets living ones; agents know of the others.
func TestBalancersHearOfEachOtherFromAgents(t *testing.T) {
	now := 10 * time.Second
	b, _ := testBalancer(t, 3, now)
	seen := &statusRecorder{recorder: newRecorder(t)}
	b.Out = seen
	a := b.agents.byIP[1]
	s := a.status
	s.Sequence++
	p := appendIPs(append(s.append(nil), 3), []IP{testSelf, 101, 102})
	b.HandleMessage(1, message(b, Message{Kind: KindAgent, Service: 7}, p), now)
	for _, ip := range []IP{101, 102} {
		if b.peers[ip] == nil || !slices.Contains(seen.statuses, ip) {
			t.Errorf("balancer %v is known: %v; statuses sent to %v", ip, b.peers[ip] != nil, seen.statuses)
		}
	}
	if b.peers[testSelf] != nil {
		t.Error("the balancer takes itself for another one")
	}
}

// statusRecorder records the receivers of statuses, and the last message.
type statusRecorder struct {
	*recorder
	statuses []IP
	last     []byte
}

func (w *statusRecorder) ToProcess(ip IP, m []byte) {
	w.statuses, w.last = append(w.statuses, ip), slices.Clone(m)
	w.recorder.ToProcess(ip, m)
}
