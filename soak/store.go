package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/standin"
)

// front is the store as one process reaches it: at two addresses, of which the settings file
// names one, and with faults of its own.
type front struct {
	store  *standin.Platform
	server *http.Server
	link   wire
	proxy  *proxy
	other  *proxy

	mu     sync.Mutex
	faults map[Fault]bool
	stale  map[platform.Kind][]byte // answers to lists while reads are stale
}

// newFront listens for a process. The proxies listen at the address.
func newFront(store *standin.Platform, ip string) (*front, error) {
	f := &front{store: store, faults: map[Fault]bool{}}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f}
	go f.server.Serve(l)
	for _, p := range []**proxy{&f.proxy, &f.other} {
		if *p, err = newProxy(ip+":0", l.Addr().String(), &f.link); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Close stops listening.
func (f *front) Close() error {
	f.proxy.Close()
	f.other.Close()
	return f.server.Close()
}

// swap exchanges the two addresses. Only the new one works from now on.
func (f *front) swap() {
	f.proxy, f.other = f.other, f.proxy
	f.proxy.turn(true)
	f.other.turn(false)
}

// begin adds a fault. Reads that are stale show what the store had before.
func (f *front) begin(x Fault, before map[platform.Kind][]byte) {
	switch x.Kind {
	case kindMute:
		f.link.add(x, impairment{drop: 1})
	case kindReset:
		f.link.add(x, impairment{reset: true})
	case kindSlow:
		f.link.add(x, impairment{delay: 350 * time.Millisecond, rate: 20_000})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[x] = true
	if x.Kind == kindStale && f.stale == nil {
		f.stale = before
	}
}

// end removes the fault.
func (f *front) end(x Fault) {
	f.link.remove(x)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.faults, x)
	for y := range f.faults {
		if y.Kind == kindStale {
			return
		}
	}
	f.stale = nil
}

// ServeHTTP answers a call of the process.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	var down, lose bool
	for x := range f.faults {
		down, lose = down || x.Kind == kindDown, lose || x.Kind == kindLose
	}
	stale := f.stale[standin.ListedKind(r)]
	f.mu.Unlock()
	switch {
	case down:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case lose:
		f.store.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case stale != nil && r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		var l platform.List
		json.Unmarshal(stale, &l)
		if at, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64); platform.Revision(at) > l.At {
			http.Error(w, "unknown revision", http.StatusGone)
			return
		}
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
		json.NewEncoder(w).Encode(platform.Changes{Events: []platform.Event{}, At: l.At})
	case stale != nil && r.Method == http.MethodGet:
		w.Write(stale)
	default:
		f.store.ServeHTTP(w, r)
	}
}

// operator changes the configuration and the evacuations.
type operator struct {
	store   *standin.Platform
	client  *platform.Client
	version int
	at      platform.Revision
	spec    json.RawMessage          // as written last
	before  map[platform.Kind][]byte // answers to lists before the latest change, by kind
}

// newOperator returns an operator whose calls to the store always arrive.
func newOperator(store *standin.Platform) *operator {
	return &operator{store: store, client: &platform.Client{URL: "http://store", HTTP: &http.Client{Transport: standin.HandlerTransport{Handler: store}}}}
}

// remember notes what the store has.
func (o *operator) remember() {
	o.before = map[platform.Kind][]byte{}
	for _, k := range []platform.Kind{platform.KindConfiguration, platform.KindEvacuation} {
		o.before[k] = o.store.List(k)
	}
}

// configure writes the next version of the configuration.
func (o *operator) configure(ctx context.Context) error {
	o.remember()
	v := o.version + 1
	var x platform.Object
	var err error
	if v == 1 {
		x, err = o.client.Create(ctx, platform.KindConfiguration, platform.ConfigurationName, configurationOf(v))
	} else {
		x, err = o.client.Update(ctx, platform.KindConfiguration, platform.ConfigurationName, configurationOf(v), o.at)
		if errors.Is(err, platform.ErrConflict) && bytes.Equal(x.Spec, o.spec) {
			// The system has changed the status since. The spec is still the one that this operator wrote.
			x, err = o.client.Update(ctx, platform.KindConfiguration, platform.ConfigurationName, configurationOf(v), x.Meta.Revision)
		}
	}
	if err == nil {
		o.spec = x.Spec
		o.version, o.at = v, x.Meta.Revision
	}
	return err
}

// evacuate takes the zone out, or back in.
func (o *operator) evacuate(ctx context.Context, zone string, out bool) error {
	o.remember()
	if out {
		_, err := o.client.Create(ctx, platform.KindEvacuation, zone, struct{}{})
		return err
	}
	x, err := o.client.Get(ctx, platform.KindEvacuation, zone)
	if err != nil {
		return err
	}
	return o.client.Delete(ctx, platform.KindEvacuation, zone, x.Meta.Revision)
}
