package demo

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/guard"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sizeFromEnv returns the size of a scenario from the environment variable, or
// small if it is not set, as in CI.
func sizeFromEnv(t *testing.T, variable string, small int) int {
	t.Helper()
	n, err := strconv.Atoi(cmp.Or(os.Getenv(variable), strconv.Itoa(small)))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// startSite starts the named deployment.
func startSite(t *testing.T, name string, off guard.Off) (*Site, *recorder) {
	t.Helper()
	return startDeployment(t, Deployments[name], off)
}

// startDeployment starts a site that is closed at the end of the test. It logs to
// the file in POMELOWAY_TEST_LOG, if set.
func startDeployment(t testing.TB, d Deployment, off guard.Off) (*Site, *recorder) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	if n := os.Getenv("POMELOWAY_TEST_LOG"); n != "" {
		f, err := os.Create(n)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { f.Close() })
		log = slog.New(slog.NewJSONHandler(f, nil))
	}
	s, err := NewSite(d, log, off)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, stop := context.WithTimeout(t.Context(), startTimeout)
	defer stop()
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return s, newRecorder()
}

// readFeeds opens feeds of the given number of lines and waits until all have
// ended.
func readFeeds(t *testing.T, s *Site, rec *recorder, count, lines int, every time.Duration) {
	var w sync.WaitGroup
	ports := sharedTransports(t, (count+callersPerPort-1)/callersPerPort)
	for i := range count {
		w.Go(func() {
			c := &caller{s: s, rec: rec, rand: rand.New(rand.NewPCG(1, uint64(i))), name: fmt.Sprintf("feed-%d", i), sharedTransport: ports[i%len(ports)]}
			f := c.open(t.Context())
			if f == nil {
				return
			}
			defer f.close()
			c.readFeed(t.Context(), f, lines, every)
		})
		time.Sleep(openInterval)
	}
	w.Wait()
}

// callersPerPort is the number of callers that share a port. With a port each, ten
// thousand callers and as many ports of the fabric would exceed the number of
// files that a process may open.
const callersPerPort = 4

// sharedTransports opens transports that several flows can use.
func sharedTransports(t *testing.T, count int) []*quic.Transport {
	t.Helper()
	var out []*quic.Transport
	for range count {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		tr := &quic.Transport{Conn: c}
		t.Cleanup(func() { tr.Close(); c.Close() })
		out = append(out, tr)
	}
	return out
}

// openInterval is the interval at which callers open their feeds.
const openInterval = time.Millisecond

// Guards against feeds that break while balancers come and go. Each second one
// balancer crashes and another joins; the fabric sends datagrams to the crashed
// one for two more seconds, and processes receive changes up to five seconds late.
// Callers that only read a feed send nothing from which an agent could learn another
// return path.
func TestFeedsSurviveBalancerChurn(t *testing.T) {
	flows, seconds := sizeFromEnv(t, "POMELOWAY_FLOWS", 60/callerDivisor), sizeFromEnv(t, "POMELOWAY_SECONDS", 6)
	s, rec := startSite(t, "agency", guard.Off{})
	s.Lag = func() time.Duration { return rand.N(5 * time.Second) }
	ctx, stop := context.WithCancel(t.Context())
	var w sync.WaitGroup
	w.Go(func() { churn(ctx, t, s) })
	readFeeds(t, s, rec, flows, seconds*2, 500*time.Millisecond)
	stop()
	w.Wait()
	r := rec.finish(time.Time{}, time.Time{})
	t.Logf("flows %d, broken %d, failed to open %d, refused %d, lines %d, whole %d, causes %v",
		r.FlowsOpened, r.BrokenFlows, r.FlowsFailedToOpen, r.FlowsRefused, r.FeedLines, r.FeedsWhole, r.Causes)
	if r.BrokenFlows > 0 || r.FeedsWhole != flows || r.RequestsWrong > 0 || r.FlowsFailedToOpen > 0 {
		t.Errorf("of %d flows %d broke, %d feeds were whole, %d lines wrong, %d failed to open", r.FlowsOpened, r.BrokenFlows, r.FeedsWhole, r.RequestsWrong, r.FlowsFailedToOpen)
	}
}

// churn starts a balancer and kills the oldest one each second.
func churn(ctx context.Context, t *testing.T, s *Site) {
	for n := 0; ctx.Err() == nil; n++ {
		b, err := s.AddBalancer(bundle.ZoneID(n%3 + 1))
		if err != nil {
			t.Error(err)
			return
		}
		poll(ctx, func() bool { return b.Status().Ready })
		dead := s.Balancers()[0]
		s.KillBalancer(dead)
		s.SyncFabric(dead)
		time.AfterFunc(fabricUpdateDelay, func() { s.SyncFabric() })
		clock.Sleep(ctx, time.Second)
	}
}
