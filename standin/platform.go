// Package standin implements small stand-ins for the external systems that
// pomeloway works with: the platform, the network fabric and the upstreams. They
// are for tests, the demo and manual trials, not for production.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pomeloway.example/pomeloway/platform"
)

// Faults are the faults that the platform's stand-in simulates.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// Delay delays every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of further writes that take effect but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"loseAnswers"`
}

// Counts counts the calls that the platform's stand-in has received.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Throttled uint64 `json:"throttled"`
}

// Platform is an in-memory object store that implements the platform's published
// protocol. Its zero value is ready to use.
type Platform struct {
	// ReadLimit and WriteLimit limit the rate of calls; nil means no limit.
	ReadLimit, WriteLimit *rate.Limiter
	// Page is the maximum number of objects in one list answer; pageSize if zero.
	Page int

	mu       sync.Mutex
	revision platform.Revision
	objects  map[key]platform.Object
	history  []change
	// droppedUpTo is the revision up to which the history was dropped.
	droppedUpTo platform.Revision
	// changed is closed and set to nil on each change; nil if nobody waits for it.
	changed chan struct{}
	faults  Faults
	counts  Counts
}

// pageSize is the default of Platform.Page.
const pageSize = 500

// key identifies an object.
type key struct {
	kind platform.Kind
	name string
}

// change is an entry of the history.
type change struct {
	kind  platform.Kind
	at    platform.Revision
	event platform.Event
}

// SetFaults replaces the simulated faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// DropHistory drops the history, so that watches from earlier revisions are answered
// with status 410 and clients must list again.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.droppedUpTo, p.history = p.revision, nil
	p.wakeWatches()
}

const objectsPath = "/pomeloway/objects/"

// ServeHTTP serves the object API and, below /standin/, the simulated faults and
// the counts.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/faults":
		p.serveFaults(w, r)
		return
	case "/standin/counts":
		writeJSON(w, http.StatusOK, p.Counts())
		return
	}
	if !p.admit(w, r) {
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	kind, name, hasName := strings.Cut(rest, "/")
	k := key{platform.Kind(kind), name}
	switch {
	case !ok:
		http.NotFound(w, r)
	case r.Method == http.MethodGet && hasName:
		p.get(w, k)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		p.watch(w, r, k.kind)
	case r.Method == http.MethodGet:
		p.list(w, r, k.kind)
	default:
		p.serveWrite(w, r, k)
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// admit counts the call and applies the rate limit, outage and delay. It reports
// whether the call may go on; if not, it has been answered or canceled.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	l := p.ReadLimit
	p.mu.Lock()
	if r.Method == http.MethodGet {
		p.counts.Reads++
	} else {
		p.counts.Writes++
		l = p.WriteLimit
	}
	f := p.faults
	throttled := l != nil && !l.Allow()
	if throttled {
		p.counts.Throttled++
	}
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return false
		}
	}
	switch {
	case f.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case throttled:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
	default:
		return true
	}
	return false
}

func (p *Platform) get(w http.ResponseWriter, k key) {
	p.mu.Lock()
	o, ok := p.objects[k]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request, k platform.Kind) {
	after := r.URL.Query().Get("after")
	p.mu.Lock()
	l := platform.List{At: max(p.revision, 1), Items: []platform.Object{}}
	for x, o := range p.objects {
		if x.kind == k && x.name > after {
			l.Items = append(l.Items, o)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(l.Items, func(a, b platform.Object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	n := p.Page
	if n == 0 {
		n = pageSize
	}
	if len(l.Items) > n {
		l.Items, l.HasMore = l.Items[:n], true
	}
	writeJSON(w, http.StatusOK, l)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, k platform.Kind) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || err2 != nil {
		http.Error(w, "watch and wait-ms must be whole numbers", http.StatusBadRequest)
		return
	}
	end := time.After(min(time.Duration(wait)*time.Millisecond, platform.MaxWait))
	for waiting := true; ; {
		x, changed, ok := p.since(k, platform.Revision(since))
		switch {
		case !ok:
			http.Error(w, "history is gone", http.StatusGone)
			return
		case len(x.Events) > 0 || !waiting:
			writeJSON(w, http.StatusOK, x)
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of the kind after the revision and a channel that is
// closed at the next change. It is not ok if the history does not go back to the
// revision.
func (p *Platform) since(k platform.Kind, at platform.Revision) (platform.Changes, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	x := platform.Changes{At: max(p.revision, 1), Events: []platform.Event{}}
	for _, h := range p.history {
		if h.kind == k && h.at > at {
			x.Events = append(x.Events, h.event)
		}
	}
	return x, p.changed, at >= p.droppedUpTo
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, k key) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*platform.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	var in platform.Object
	if len(b) > 0 {
		if err := json.Unmarshal(b, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		n, _ := strconv.ParseUint(q, 10, 64)
		in.Meta.Revision = platform.Revision(n)
	}
	o, status, loseAnswer := p.apply(r.Method, k, in)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, o)
}

// apply performs the write if its condition holds. It returns the object as it is
// then, the status of the answer, and whether the answer is to be lost.
func (p *Platform) apply(method string, k key, in platform.Object) (_ platform.Object, status int, loseAnswer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	part, isStatus := strings.CutSuffix(k.name, "/status")
	if k.name = part; method == http.MethodPost {
		k.name = in.Meta.Name
	}
	cur, exists := p.objects[k]
	switch {
	case method == http.MethodPost && exists:
		return cur, http.StatusConflict, false
	case method != http.MethodPost && !exists:
		return cur, http.StatusNotFound, false
	case exists && in.Meta.Revision != 0 && in.Meta.Revision != cur.Meta.Revision:
		return cur, http.StatusConflict, false
	}
	next, removed := updatedObject(method, cur, in, isStatus)
	next.Meta.Name = k.name
	if removed || !equalAsJSON(cur, next) || !exists {
		next = p.store(k, next, removed)
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return next, 0, true
	}
	return next, http.StatusOK, false
}

// updatedObject returns the object after the write and whether the write removes
// it. An object is removed once its deletion is pending and it has no finalizers.
func updatedObject(method string, cur, in platform.Object, status bool) (platform.Object, bool) {
	o := cur
	switch {
	case method == http.MethodDelete:
		o.Meta.DeletionPending = true
	case status:
		o.Status = in.Status
	default:
		o.Spec, o.Meta.Finalizers = in.Spec, in.Meta.Finalizers
	}
	return o, o.Meta.DeletionPending && len(o.Meta.Finalizers) == 0
}

// equalAsJSON reports whether the objects are equal as JSON.
func equalAsJSON(a, b platform.Object) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return string(x) == string(y)
}

// store saves or removes the object under a new revision and records the change.
func (p *Platform) store(k key, o platform.Object, removed bool) platform.Object {
	if p.objects == nil {
		p.objects = map[key]platform.Object{}
	}
	p.revision = max(p.revision, 1) + 1
	o.Meta.Revision = p.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = p.revision
	}
	if removed {
		delete(p.objects, k)
	} else {
		p.objects[k] = o
	}
	p.history = append(p.history, change{k.kind, p.revision, platform.Event{Object: o, Removed: removed}})
	p.wakeWatches()
	return o
}

// wakeWatches makes all waiting watches read the history again.
func (p *Platform) wakeWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
