// Package standin has the small stand-ins for the systems that pomeloway meets:
// the platform, the fabric and the upstreams. They are for tests, the demo and
// trials by hand, never for real use.
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

// Faults are the switches of the platform's stand-in.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Delay holds every call back.
	Delay time.Duration `json:"delay"`
	// LoseAnswers cuts the connection after a write has taken effect, for so
	// many writes.
	LoseAnswers int `json:"loseAnswers"`
}

// Counts are the calls that the platform's stand-in has taken.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Throttled uint64 `json:"throttled"`
}

// Platform is an object store in memory with the platform's API. Its zero
// value works.
type Platform struct {
	// ReadLimit and WriteLimit are the budgets; nil means none.
	ReadLimit, WriteLimit *rate.Limiter

	mu       sync.Mutex
	revision platform.Revision
	objects  map[string]platform.Object
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

// Set throws the switches.
func (p *Platform) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the calls taken so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ServeHTTP serves the object API and, below /standin/, the switches.
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
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects")
	kind, name, one := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	switch {
	case !ok:
		http.NotFound(w, r)
	case rest == "" && r.Method == http.MethodGet:
		p.list(w, r)
	case one && r.Method == http.MethodGet:
		p.get(w, kind+"/"+name)
	case one && (r.Method == http.MethodPut || r.Method == http.MethodDelete):
		p.write(w, r, platform.Kind(kind), name)
	default:
		http.Error(w, "unknown call", http.StatusBadRequest)
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// admit counts the call and applies budget, outage and delay.
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

func (p *Platform) get(w http.ResponseWriter, key string) {
	p.mu.Lock()
	o, ok := p.objects[key]
	p.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	end := time.After(min(wait, platform.MaxWait))
	for {
		l, changed := p.read(platform.Revision(since), q["kind"])
		if len(l.Objects) > 0 || wait == 0 || since == 0 {
			writeJSON(w, http.StatusOK, l)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) read(since platform.Revision, kinds []string) (platform.List, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	l := platform.List{Revision: p.revision, Objects: []platform.Object{}}
	for _, o := range p.objects {
		fresh := o.Revision > since || since > p.revision
		if fresh && slices.Contains(kinds, string(o.Kind)) && (since > 0 || !o.Deleted) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b platform.Object) int { return int(a.Revision) - int(b.Revision) })
	return l, p.changed
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, k platform.Kind, name string) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o := platform.Object{Kind: k, Name: name, Value: b, Deleted: r.Method == http.MethodDelete}
	o, lose, ok := p.apply(o, r.Header.Get("If-Match"), r.Header.Get("If-None-Match"))
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !ok:
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
	case o.Deleted:
		w.WriteHeader(http.StatusNoContent)
	default:
		o.Value = nil
		writeJSON(w, http.StatusOK, o)
	}
}

// apply makes the write if its condition holds.
func (p *Platform) apply(o platform.Object, match, noneMatch string) (_ platform.Object, lose, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(o.Kind) + "/" + o.Name
	cur, exists := p.objects[key]
	exists = exists && !cur.Deleted
	if noneMatch == "*" && exists || match != "" && (!exists || match != strconv.Quote(strconv.FormatUint(uint64(cur.Revision), 10))) {
		return o, false, false
	}
	if o.Deleted {
		o.Value = cur.Value
	}
	if p.objects == nil {
		p.objects = map[string]platform.Object{}
	}
	p.revision++
	o.Revision = p.revision
	p.objects[key] = o
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return o, true, true
	}
	return o, false, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
