package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger counts how often each order was run by all upstreams that share it.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// Run records a run of the order and returns the number of its runs so far.
func (l *Ledger) Run(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[order]++
	return l.runs[order]
}

// Runs returns how often the order was run.
func (l *Ledger) Runs(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[order]
}

// CountRepeated returns how many orders were run more than once.
func (l *Ledger) CountRepeated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r > 1 {
			n++
		}
	}
	return n
}

// Upstream is a back end with slots, cold start, drain and load shedding. A
// request takes the time Work, and five times as long while the upstream is cold.
type Upstream struct {
	Service, Name, Zone string
	Slots               int
	// ColdSlots is the initial limit of concurrent requests while the upstream is
	// cold. Each time ColdAnswers requests have succeeded the limit doubles, up to
	// Slots.
	ColdSlots, ColdAnswers int
	Work                   time.Duration
	Ledger                 *Ledger

	mu sync.Mutex
	// limit is the current limit of concurrent requests; zero before the first.
	limit int
	// answers counts the requests that succeeded since the limit last changed.
	answers int
	warning warningTracker
	// coldStarts counts how often the upstream turned cold. Requests that began
	// before the last time don't count towards raising the limit.
	coldStarts int
	// tasks holds the running requests.
	tasks map[*task]struct{}
	// overloadNotes holds messages about requests beyond the limit.
	overloadNotes []string
	draining      bool
	// unpaired is the request that waits for another one to swap answers with.
	unpaired    *pair
	swapAnswers atomic.Bool

	// OverSlots counts requests beyond the slots, OverCold those beyond the limit
	// of the cold upstream. OverWarned counts only those of OverCold whose client
	// had been warned by earlier responses that the upstream is cold. Misrouted
	// counts requests for another service.
	OverSlots, OverCold, OverWarned, Misrouted, Served atomic.Uint64
	// LastWork is when a request last began, LastSent when a line of a feed was
	// last sent, in Unix nanoseconds.
	LastWork, LastSent atomic.Int64
	// Feeds is the number of open feeds.
	Feeds atomic.Int64
}

// coldFactor is how much longer a request takes while the upstream is cold.
const coldFactor = 5

// TurnCold makes the upstream cold without announcing it. A client can only detect
// it from the responses.
func (u *Upstream) TurnCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.warning.turnCold(u.limit < u.Slots)
	u.limit, u.answers = max(u.ColdSlots, 1), 0
	u.coldStarts++
}

// Drain sets whether the health endpoint reports that the upstream is draining.
func (u *Upstream) Drain(v bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = v
}

// SwapAnswers sets whether the upstream swaps the answers of two screen requests that
// arrive shortly after one another.
func (u *Upstream) SwapAnswers(v bool) { u.swapAnswers.Store(v) }

// Cold reports whether the upstream is cold: its limit is below its slots.
func (u *Upstream) Cold() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit < u.Slots
}

// task is a running request.
type task struct {
	ctx   context.Context
	began time.Time
	path  string
	// coldStart is the value of Upstream.coldStarts when the request began.
	coldStart int
}

// begin registers a request and returns how long it takes. It is not ok if the
// request is beyond the limit and must be shed. In either case the caller must
// call end.
func (u *Upstream) begin(r *http.Request) (p *task, duration time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit == 0 {
		u.limit = max(u.ColdSlots, 1)
		u.warning.warnNow()
	}
	p = &task{ctx: r.Context(), began: time.Now(), path: r.URL.Path, coldStart: u.coldStarts}
	u.LastWork.Store(p.began.UnixNano())
	if u.tasks == nil {
		u.tasks = map[*task]struct{}{}
	}
	u.tasks[p] = struct{}{}
	running, cold := len(u.tasks), u.limit < u.Slots
	switch {
	case running > u.Slots:
		u.OverSlots.Add(1)
		u.noteOverload("slots")
		return p, 0, false
	case running > u.limit:
		u.OverCold.Add(1)
		if u.warning.warnedBefore(sentAt(r)) {
			u.OverWarned.Add(1)
			u.noteOverload("cold")
		}
		return p, 0, false
	case cold:
		return p, u.Work * coldFactor, true
	}
	return p, u.Work, true
}

// maxOverloadNotes is the maximum number of messages about requests beyond the
// limit.
const maxOverloadNotes = 3

// noteOverload records the requests that run when there are too many. The caller
// holds u.mu.
func (u *Upstream) noteOverload(beyond string) {
	if len(u.overloadNotes) >= maxOverloadNotes {
		return
	}
	var under []string
	for p := range u.tasks {
		under = append(under, fmt.Sprintf("%s %v canceled %t cold start %d", p.path, time.Since(p.began).Round(time.Millisecond), p.ctx.Err() != nil, p.coldStart))
	}
	slices.Sort(under)
	u.overloadNotes = append(u.overloadNotes, fmt.Sprintf("requests beyond %s: upstream %s has limit %d, cold start %d, %d answers, client %s, running: %s",
		beyond, u.Name, u.limit, u.coldStarts, u.answers, u.warning.describe(), strings.Join(under, "; ")))
}

// OverloadNotes returns messages about requests beyond the limit.
func (u *Upstream) OverloadNotes() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.overloadNotes)
}

// ObserveResponse processes a response that the upstream's client has received. After
// TurnCold a client counts as warned only because of such responses.
func (u *Upstream) ObserveResponse(h Response) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.warning.record(h, u.limit < u.Slots)
}

// end removes a request. A successful request of a cold upstream counts towards
// raising the limit.
func (u *Upstream) end(p *task, good bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.tasks, p)
	if !good || u.limit >= u.Slots || p.coldStart != u.coldStarts {
		return
	}
	if u.answers++; u.answers < u.ColdAnswers {
		return
	}
	u.answers, u.limit = 0, min(u.limit*2, u.Slots)
	if u.limit == u.Slots {
		u.warning.turnWarm()
	}
}

// maxConcurrentStreams is the maximum number of concurrent requests on an HTTP/2
// connection.
const maxConcurrentStreams = 1000

// NewServer returns a server that speaks HTTP/1.1 and HTTP/2, both without TLS.
func NewServer(h http.Handler) *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: p, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}}
}

// Handler returns the upstream's HTTP interface.
func (u *Upstream) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", u.health)
	m.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, rand.IntN(max(u.Slots, 1))) // meaningless, as a load report may be stale or wrong
	})
	m.HandleFunc("GET /feed", u.feed)
	m.HandleFunc("GET /screen", u.screen)
	m.HandleFunc("POST /order", u.order)
	m.HandleFunc("POST /upload", u.upload)
	m.HandleFunc("POST /echo", u.echo)
	m.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]uint64{"served": u.Served.Load(), "overSlots": u.OverSlots.Load(), "overCold": u.OverCold.Load()})
	})
	m.HandleFunc("POST /standin/cold", func(w http.ResponseWriter, _ *http.Request) { u.TurnCold() })
	m.HandleFunc("POST /standin/drain", func(w http.ResponseWriter, r *http.Request) { u.Drain(r.URL.Query().Get("on") != "false") })
	return m
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	d := u.draining
	u.mu.Unlock()
	if d {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// setHeaders sets the headers of every answer and counts requests for other
// services.
func (u *Upstream) setHeaders(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Want-Service"); want != "" && want != u.Service {
		u.Misrouted.Add(1)
	}
	w.Header().Set("Pomeloway-Request", r.Header.Get("Pomeloway-Request"))
	w.Header().Set("Upstream", u.Name)
	w.Header().Set("Upstream-Zone", u.Zone)
}

// doWork waits for as long as the request takes. It is not ok if the request was
// shed, in which case it was answered with status 503, or canceled; then doWork has
// already called end.
func (u *Upstream) doWork(w http.ResponseWriter, r *http.Request) (p *task, ok bool) {
	u.setHeaders(w, r)
	p, d, ok := u.begin(r)
	if !ok {
		u.end(p, false)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return p, false
	}
	select {
	case <-time.After(d):
		return p, true
	case <-r.Context().Done():
		u.end(p, false)
		return p, false
	}
}

// Line is one line of a feed.
type Line struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	Caller   string `json:"caller"`
	Seq      int    `json:"seq"`
	Last     bool   `json:"last,omitempty"`
}

// feed sends a number of lines at an interval, both given in the query.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	p, ok := u.doWork(w, r)
	if !ok {
		return
	}
	u.end(p, true)
	u.Feeds.Add(1)
	defer u.Feeds.Add(-1)
	q := r.URL.Query()
	lines, _ := strconv.Atoi(q.Get("lines"))
	every, _ := time.ParseDuration(q.Get("every"))
	e := json.NewEncoder(w)
	for i := 1; i <= lines; i++ {
		e.Encode(Line{u.Service, u.Name, u.Zone, q.Get("caller"), i, i == lines})
		if http.NewResponseController(w).Flush() == nil {
			u.LastSent.Store(time.Now().UnixNano())
		}
		select {
		case <-time.After(max(every, time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
	u.Served.Add(1)
}

// Reply is the answer to a screen, an order or an upload.
type Reply struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	Caller   string `json:"caller"`
	Order    string `json:"order,omitempty"`
	Run      int    `json:"run,omitempty"`
	SHA256   string `json:"sha256,omitempty"`
}

// reply completes v with the upstream's names and sends it.
func (u *Upstream) reply(w http.ResponseWriter, v Reply) {
	v.Service, v.Upstream, v.Zone = u.Service, u.Name, u.Zone
	u.Served.Add(1)
	writeJSON(w, http.StatusOK, v)
}

func (u *Upstream) screen(w http.ResponseWriter, r *http.Request) {
	p, ok := u.doWork(w, r)
	if !ok {
		return
	}
	defer u.end(p, true)
	c := requestIdentity{id: r.Header.Get("Pomeloway-Request"), caller: r.URL.Query().Get("caller")}
	if u.swapAnswers.Load() {
		c = u.swap(c)
	}
	w.Header().Set("Pomeloway-Request", c.id)
	u.reply(w, Reply{Caller: c.caller})
}

// requestIdentity is the part of an answer that identifies its request.
type requestIdentity struct{ id, caller string }

// swapWindow is how long an answer waits for another one to be swapped with.
const swapWindow = 30 * time.Millisecond

// pair is two requests whose answers are swapped; paired is closed once the second
// one is set.
type pair struct {
	first, second requestIdentity
	paired        chan struct{}
}

// swap returns the identity of another request if one arrives within swapWindow,
// and c otherwise.
func (u *Upstream) swap(c requestIdentity) requestIdentity {
	u.mu.Lock()
	if p := u.unpaired; p != nil {
		u.unpaired = nil
		p.second = c
		close(p.paired)
		u.mu.Unlock()
		return p.first
	}
	p := &pair{first: c, paired: make(chan struct{})}
	u.unpaired = p
	u.mu.Unlock()
	select {
	case <-p.paired:
		return p.second
	case <-time.After(swapWindow):
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unpaired == p {
		u.unpaired = nil
		return c
	}
	return p.second
}

// order runs an order. Its only side effect is the entry in the ledger.
func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p, ok := u.doWork(w, r)
	if !ok {
		return
	}
	defer u.end(p, true)
	u.reply(w, Reply{Caller: r.URL.Query().Get("caller"), Order: string(b), Run: u.Ledger.Run(string(b))})
}

func (u *Upstream) upload(w http.ResponseWriter, r *http.Request) {
	p, ok := u.doWork(w, r)
	if !ok {
		return
	}
	h := sha256.New()
	_, err := io.Copy(h, r.Body)
	u.end(p, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.reply(w, Reply{Caller: r.URL.Query().Get("caller"), SHA256: hex.EncodeToString(h.Sum(nil))})
}

// echo sends the request body back while it receives it.
func (u *Upstream) echo(w http.ResponseWriter, r *http.Request) {
	p, ok := u.doWork(w, r)
	if !ok {
		return
	}
	c := http.NewResponseController(w)
	c.EnableFullDuplex()
	c.Flush()
	_, err := io.Copy(w, r.Body)
	u.end(p, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
