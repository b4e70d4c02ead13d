package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"pomeloway.example/pomeloway/settings"
	"pomeloway.example/pomeloway/standin"
)

func standinPlatform(o StandinPlatform, s streams) error {
	p := &standin.Platform{ReadLimit: limiter(o.Reads), WriteLimit: limiter(o.Writes)}
	return serveHTTP(o.Listen, p, "platform", s)
}

// limiter returns a limiter of the rate, or nil if the rate is not limited.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(max(perSecond, 1)))
}

func standinUpstream(o StandinUpstream, s streams) error {
	u := &standin.Upstream{
		Service: o.Service, Name: o.Name, Zone: o.Zone, Slots: o.Slots,
		ColdSlots: o.Cold, ColdAnswers: o.Answers, Work: o.Work, Ledger: &standin.Ledger{},
	}
	return serveHTTP(o.Listen, u.Handler(), "upstream "+o.Name, s)
}

// serveHTTP serves until the process receives a signal, then closes all
// connections.
func serveHTTP(a netip.AddrPort, h http.Handler, name string, s streams) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return eris.Wrap(err, "--listen")
	}
	fmt.Fprintf(s.errs, "stand-in for the %s serves on %s\n", name, l.Addr())
	v := standin.NewServer(h)
	ctx, stop := signalContext(context.Background())
	defer stop()
	var g run.Group
	g.Add(func() error { return v.Serve(l) }, func(error) { v.Close() })
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { stop() })
	return g.Run()
}

// fabricPollInterval is the interval between readiness checks of the balancers,
// and the timeout of each check.
const fabricPollInterval = 500 * time.Millisecond

func standinFabric(o StandinFabric, s streams) error {
	bs, err := parseFabricBalancers(o.Balancer)
	if err != nil {
		return err
	}
	f := standin.NewFabric()
	for _, a := range o.Service {
		if err := f.Open(a); err != nil {
			return eris.Wrap(err, "--service")
		}
	}
	ctx, stop := signalContext(context.Background())
	defer stop()
	var g run.Group
	g.Add(func() error { return pollBalancers(ctx, f, o, bs) }, func(error) { stop(); f.Close() })
	fmt.Fprintf(s.errs, "stand-in for the fabric serves %v\n", o.Service)
	return g.Run()
}

// fabricBalancer is a balancer to which the fabric sends datagrams.
type fabricBalancer struct {
	ip       netip.Addr
	operator netip.AddrPort
}

// parseFabricBalancers parses the values of --balancer, IP@IP:PORT each.
func parseFabricBalancers(texts []string) ([]fabricBalancer, error) {
	var f settings.Errors
	var bs []fabricBalancer
	for _, t := range texts {
		ip, operator, _ := strings.Cut(t, "@")
		a, ipErr := netip.ParseAddr(ip)
		o, operatorErr := netip.ParseAddrPort(operator)
		if ipErr != nil || operatorErr != nil {
			f = append(f, fmt.Sprintf("--balancer: %q is not IP@IP:PORT", t))
		}
		bs = append(bs, fabricBalancer{a, o})
	}
	return bs, f.ErrOrNil()
}

// pollBalancers keeps the fabric's list of balancers up to date. The list contains
// the balancers that report ready, and unreachable ones until o.Stale has passed
// since they last reported ready, because a real fabric takes time to detect a
// failure.
func pollBalancers(ctx context.Context, f *standin.Fabric, o StandinFabric, bs []fabricBalancer) error {
	lastReady := map[fabricBalancer]time.Time{}
	c := &http.Client{Timeout: fabricPollInterval}
	for {
		var targets []netip.Addr
		for _, b := range bs {
			ready, reached := checkReady(ctx, c, b.operator.String())
			if ready {
				lastReady[b] = time.Now()
			}
			if ready || !reached && time.Since(lastReady[b]) < o.Stale {
				targets = append(targets, b.ip)
			}
		}
		for _, svc := range o.Service {
			var to []netip.AddrPort
			for _, a := range targets {
				to = append(to, netip.AddrPortFrom(a, svc.Port()))
			}
			f.SetBalancers(svc, to)
		}
		select {
		case <-time.After(fabricPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// checkReady queries the readiness endpoint at a balancer's operator address. It
// returns whether the balancer is ready and whether it was reached.
func checkReady(ctx context.Context, c *http.Client, operatorAddr string) (ready, reached bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddr+"/readyz", nil)
	if err != nil {
		return false, true
	}
	a, err := c.Do(r)
	if err != nil {
		return false, false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK, true
}
