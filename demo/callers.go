package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/agent"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/standin"
)

// Behaviour of callers. Think times, feed lengths and upload sizes are random
// within these limits.
const (
	maxThinkTime     = 60 * time.Millisecond
	maxFeedLines     = 60
	minFeedLines     = 20
	feedInterval     = 100 * time.Millisecond
	maxUpload        = 512 << 10
	requestsPerFlow  = 40
	maxOrderAttempts = 6
	retryDelay       = 100 * time.Millisecond
	// orderRepeatsPerTen is the average number of answered orders, of ten, that a
	// caller sends again as if the answer had been lost.
	orderRepeatsPerTen = 2
)

// caller simulates one user of a service.
type caller struct {
	s          *Site
	rec        *recorder
	rand       *rand.Rand
	name       string
	service    int // index in Deployment.Services
	orderCount int
	// sharedTransport is a transport that several callers use; nil means that each
	// flow gets a port of its own.
	sharedTransport *quic.Transport
}

// runCallers runs callers until the context ends; each finishes the request or
// feed that it has started.
func runCallers(ctx context.Context, s *Site, rec *recorder, count int, seed uint64) {
	var w sync.WaitGroup
	for i := range count {
		c := &caller{s: s, rec: rec, rand: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprintf("caller-%d", i)}
		f := c.runOrders
		switch {
		case i%4 == 3:
			c.service, f = uploadService(s.Deployment), c.runUploads
		case i%4 != 0:
			f = c.runFeeds
		}
		w.Go(func() { f(ctx) })
	}
	w.Wait()
}

// uploadService returns the index of the service that callers upload to.
func uploadService(d Deployment) int {
	for i, s := range d.Services {
		if s.Upload {
			return i
		}
	}
	return 0
}

// open opens a flow. It retries until the context ends, then returns nil.
func (c *caller) open(ctx context.Context) *flow {
	for ctx.Err() == nil {
		f, err := c.openOnce(ctx)
		if err == nil {
			return f
		}
		if ctx.Err() != nil {
			return nil
		}
		c.countOpenFailure(err)
		clock.Sleep(ctx, retryDelay)
	}
	return nil
}

func (c *caller) openOnce(ctx context.Context) (*flow, error) {
	if c.sharedTransport != nil {
		return openShared(ctx, c.s, c.rec, c.service, c.sharedTransport)
	}
	return openFlow(ctx, c.s, c.rec, c.service)
}

// countOpenFailure counts a flow that could not be opened.
func (c *caller) countOpenFailure(err error) {
	var app *quic.ApplicationError
	if errors.As(err, &app) || (wasReset(err) || wasClosedInHandshake(err)) && c.s.isAnyZoneOut() {
		return // the flow was opened, then closed with a reason
	}
	var t *quic.TransportError
	if errors.As(err, &t) && t.ErrorCode == quic.ConnectionRefused {
		c.rec.update(func(r *Report) { r.FlowsRefused++ })
		return
	}
	c.rec.addCause("open: " + err.Error())
	c.rec.update(func(r *Report) { r.FlowsFailedToOpen++ })
}

// think waits for a random time, as a user does between two requests.
func (c *caller) think(ctx context.Context) {
	clock.Sleep(ctx, time.Duration(c.rand.Int64N(int64(maxThinkTime))))
}

// useFlows opens one flow after another until the context ends. It calls use on
// each flow up to the given number of times, and closes the flow early when use
// returns false.
func (c *caller) useFlows(ctx context.Context, uses int, use func(*flow) bool) {
	for ctx.Err() == nil {
		f := c.open(ctx)
		if f == nil {
			return
		}
		for i := 0; i < uses && ctx.Err() == nil && use(f); i++ {
			c.think(ctx)
		}
		f.close()
	}
}

// runFeeds reads one feed after another, as a class or a trading desk does.
func (c *caller) runFeeds(ctx context.Context) {
	c.useFlows(ctx, 3, func(f *flow) bool {
		// A started feed is read to its end, even after the end of the run.
		lines := minFeedLines + c.rand.IntN(maxFeedLines-minFeedLines)
		return c.readFeed(context.Background(), f, lines, feedInterval)
	})
}

// readFeed reads one feed and retries while it is refused. It reports whether the
// flow is still usable.
func (c *caller) readFeed(ctx context.Context, f *flow, lines int, every time.Duration) bool {
	for {
		err := f.feed(ctx, c.name, lines, every)
		if !errors.Is(err, errFeedRefused) {
			return c.handleError(ctx, f, err, "feed")
		}
		clock.Sleep(ctx, time.Duration(c.rand.Int64N(int64(time.Second))))
	}
}

// handleError counts the error, if any, and reports whether the flow is still
// usable.
func (c *caller) handleError(ctx context.Context, f *flow, err error, what string) bool {
	if err != nil {
		f.countFailure(f.classify(ctx, err), err, what)
	}
	return err == nil
}

// runOrders requests the screen and places orders, in random order.
func (c *caller) runOrders(ctx context.Context) {
	c.useFlows(ctx, requestsPerFlow, func(f *flow) bool {
		if c.rand.IntN(2) == 0 {
			return c.requestScreen(f)
		}
		return c.placeOrder(f)
	})
}

// requestScreen requests the screen and reports whether the flow is still usable.
func (c *caller) requestScreen(f *flow) bool {
	start := time.Now()
	r, err := f.do(context.Background(), http.MethodGet, "/screen?caller="+c.name, nil, "")
	c.countAnswer(r, err, start, func(p standin.Reply) bool { return p.Caller == c.name })
	return c.handleError(context.Background(), f, err, "screen")
}

// countAnswer counts a request by its result. It counts a wrong answer if
// isCorrect rejects the body.
func (c *caller) countAnswer(r *result, err error, start time.Time, isCorrect func(standin.Reply) bool) {
	switch {
	case err != nil:
		c.rec.addRequest(time.Since(start), false)
	case r.status == http.StatusOK:
		var p standin.Reply
		wrong := json.Unmarshal(r.body, &p) != nil || p.Service != string(c.s.Deployment.Services[c.service].Name) || !isCorrect(p)
		c.rec.addRequest(time.Since(start), true)
		if wrong {
			c.rec.update(func(r *Report) { r.RequestsWrong++ })
		}
	default:
		c.rec.addRequest(time.Since(start), false)
		c.rec.update(func(x *Report) {
			if r.outcome == agent.OutcomeNotRun {
				x.RequestsRefused++
			} else {
				x.RequestsUnknown++
			}
		})
		if r.outcome != agent.OutcomeNotRun {
			c.rec.addCause(fmt.Sprintf("unknown: %s", r.body))
		}
	}
}

// placeOrder places one order with an idempotency key. It retries with the same key
// while the outcome is unknown, and repeats some answered orders. It reports
// whether the flow is still usable.
func (c *caller) placeOrder(f *flow) bool {
	c.orderCount++
	id := fmt.Sprintf("%s-%d", c.name, c.orderCount)
	ctx := context.Background()
	key, err := c.requestKey(ctx, f)
	if err != nil || key == "" {
		return c.handleError(ctx, f, err, "key") && err == nil
	}
	start := time.Now()
	ok, usable := c.sendOrder(ctx, f, id, key)
	if ok && c.rand.IntN(10) < orderRepeatsPerTen {
		c.repeatOrder(ctx, id, key)
	}
	c.rec.addRequest(time.Since(start), ok)
	return usable
}

// requestKey requests an idempotency key from the agent.
func (c *caller) requestKey(ctx context.Context, f *flow) (string, error) {
	r, err := f.do(ctx, http.MethodPost, agent.PathKey, nil, "")
	if err != nil || r.status != http.StatusOK {
		return "", err
	}
	var k agent.IssuedKey
	return k.Key, eris.Wrap(json.Unmarshal(r.body, &k), "key")
}

// sendOrder sends the order up to maxOrderAttempts times until it is answered, and
// opens a new flow when a flow fails. It reports whether the order was answered and
// whether f is still usable.
func (c *caller) sendOrder(ctx context.Context, f *flow, id, key string) (ok, usable bool) {
	original := f
	defer func() {
		if f != original {
			f.close()
		}
	}()
	for try := 0; try < maxOrderAttempts; try++ {
		r, err := f.do(ctx, http.MethodPost, "/order?caller="+c.name, []byte(id), key)
		switch {
		case err != nil:
			c.handleError(ctx, f, err, "order")
			if f != original {
				f.close()
			}
			if f = c.open(ctx); f == nil {
				return false, false
			}
		case r.status == http.StatusOK:
			return c.checkOrder(r, id), f == original
		case r.outcome == agent.OutcomeNotRun:
			c.rec.update(func(x *Report) {
				x.RequestsRefused++
				if c.s.Ledger.Runs(id) > 0 {
					x.RefusedButRun++
				}
			})
			clock.Sleep(ctx, r.retryAfter/4)
		default:
			c.rec.update(func(x *Report) { x.RequestsUnknown++ })
			c.rec.addCause(fmt.Sprintf("order unknown: %s", r.body))
			clock.Sleep(ctx, retryDelay)
		}
	}
	return false, f == original
}

// checkOrder counts the answer to an order as wrong if it belongs to another one.
func (c *caller) checkOrder(r *result, id string) bool {
	var p standin.Reply
	if json.Unmarshal(r.body, &p) != nil || p.Order != id || p.Caller != c.name {
		c.rec.update(func(r *Report) { r.RequestsWrong++ })
	}
	return true
}

// repeatOrder sends an answered order again on a new flow. The agent must repeat the
// stored answer and not run the order a second time.
func (c *caller) repeatOrder(ctx context.Context, id, key string) {
	f := c.open(ctx)
	if f == nil {
		return
	}
	defer f.close()
	r, err := f.do(ctx, http.MethodPost, "/order?caller="+c.name, []byte(id), key)
	if err != nil {
		c.handleError(ctx, f, err, "order again")
		return
	}
	c.rec.update(func(x *Report) { x.OrdersRepeated++ })
	if r.status == http.StatusOK {
		c.checkOrder(r, id)
	} else if r.outcome == agent.OutcomeNotRun {
		// The order has run, so the outcome "not run" is false.
		c.rec.update(func(x *Report) { x.RefusedButRun++ })
	}
}

// runUploads uploads random bodies and checks the hash in each answer.
func (c *caller) runUploads(ctx context.Context) {
	c.useFlows(ctx, 5, func(f *flow) bool {
		b := make([]byte, 1+c.rand.IntN(maxUpload))
		for i := range b {
			b[i] = byte(c.rand.Uint32())
		}
		sum := sha256.Sum256(b)
		start := time.Now()
		r, err := f.do(context.Background(), http.MethodPost, "/upload?caller="+c.name, b, "")
		c.countAnswer(r, err, start, func(p standin.Reply) bool {
			return p.Caller == c.name && p.SHA256 == hex.EncodeToString(sum[:])
		})
		return c.handleError(context.Background(), f, err, "upload")
	})
}
