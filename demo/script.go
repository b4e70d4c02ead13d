package demo

import (
	"context"
	"fmt"
	"time"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/clock"
	"pomeloway.example/pomeloway/standin"
)

// step is one fault or change that the script applies to the site.
type step struct {
	// at is the time of the step as a fraction of the run.
	at   float64
	text string
	do   func(context.Context) error
}

// script applies faults and changes to a site during a run, and records their
// times.
type script struct {
	s   *Site
	rec *recorder
	log func(string)

	// moveFrom and moveTo bound the move of a zone: from just before the command to
	// take it out until moveTail after its return.
	moveFrom, moveTo time.Time
	// drained is the upstream that drain stopped, at drainedAt.
	drained *upstreamVM
	// zoneOutAt is when the command to take the zone out succeeded.
	drainedAt, zoneOutAt time.Time
	// endStep records the end of the current step; nil if the step has effect for longer.
	endStep func()
	// endPlatformDown and endZoneOut record the ends of steps that a later step ends.
	endPlatformDown, endZoneOut func()
}

const (
	// fabricUpdateDelay is how long the fabric sends datagrams to a balancer after
	// its crash.
	fabricUpdateDelay = 2 * time.Second
	// moveTail is how long the move of a zone lasts after the zone's return.
	moveTail = 2 * time.Second
)

// steps returns the steps in the order of their times.
func (x *script) steps() []step {
	return []step{
		{0.08, "a balancer crashes", x.killBalancer},
		{0.16, "a balancer joins", x.joinBalancer},
		{0.22, "an upstream drains", x.drain},
		{0.30, "its replacement joins cold", x.addReplacement},
		{0.36, "an upstream turns cold without warning", x.turnCold},
		{0.40, "upstreams swap answers", x.swapAnswers},
		{0.44, "the platform goes down", x.platformDown},
		{0.46, "a balancer joins while it is down", x.joinBalancer},
		{0.54, "the platform recovers", x.platformUp},
		{0.58, "the answer to an operator is lost", x.acceptWithLostAnswers},
		{0.64, "an availability zone is taken out", x.zoneOut},
		{0.80, "the availability zone returns", x.zoneIn},
		{0.90, "a balancer stops gracefully", x.stopBalancer},
	}
}

// run applies each step at its time in a run of length d.
func (x *script) run(ctx context.Context, d time.Duration) error {
	start := time.Now()
	for _, p := range x.steps() {
		clock.Sleep(ctx, time.Until(start.Add(time.Duration(float64(d)*p.at))))
		if ctx.Err() != nil {
			return nil
		}
		x.log(p.text)
		x.endStep = x.rec.beginStep(p.text, time.Now())
		err := p.do(ctx)
		x.takeEnd()()
		if err != nil {
			return fmt.Errorf("%s: %w", p.text, err)
		}
	}
	return nil
}

// takeEnd returns the function that records the end of the current step. A step whose
// effect lasts longer than its function takes it and calls it later.
func (x *script) takeEnd() (end func()) {
	if end = x.endStep; end == nil {
		end = func() {}
	}
	x.endStep = nil
	return end
}

func (x *script) killBalancer(context.Context) error {
	b := x.s.Balancers()[0]
	x.s.KillBalancer(b)
	x.s.SyncFabric(b)
	end := x.takeEnd()
	time.AfterFunc(fabricUpdateDelay, func() {
		x.s.SyncFabric()
		end()
	})
	return nil
}

func (x *script) joinBalancer(ctx context.Context) error {
	b, err := x.s.AddBalancer(1)
	if err != nil {
		return err
	}
	return poll(ctx, func() bool {
		ok := b.Status().Ready
		if ok {
			x.s.SyncFabric()
		}
		return ok
	})
}

func (x *script) stopBalancer(context.Context) error {
	b := x.s.Balancers()[0]
	end := x.takeEnd()
	go func() {
		x.s.StopBalancer(b)
		end()
	}()
	time.AfterFunc(time.Second, func() { x.s.SyncFabric() })
	return nil
}

func (x *script) drain(context.Context) error {
	x.drained, x.drainedAt = x.s.RunningUpstreams()[0], time.Now()
	end := x.takeEnd()
	go func() {
		x.s.StopUpstream(x.drained)
		end()
	}()
	return nil
}

func (x *script) addReplacement(context.Context) error {
	_, err := x.s.AddUpstream(0, x.drained.zone)
	return err
}

func (x *script) turnCold(context.Context) error {
	x.s.RunningUpstreams()[1].TurnCold()
	return nil
}

func (x *script) swapAnswers(context.Context) error {
	for _, u := range x.s.RunningUpstreams() {
		u.SwapAnswers(true)
	}
	end := x.takeEnd()
	time.AfterFunc(fabricUpdateDelay, func() {
		defer end()
		for _, u := range x.s.RunningUpstreams() {
			u.SwapAnswers(false)
		}
	})
	return nil
}

func (x *script) platformDown(context.Context) error {
	x.s.Platform.SetFaults(standin.Faults{Outage: true})
	x.endPlatformDown = x.takeEnd()
	return nil
}

func (x *script) platformUp(context.Context) error {
	x.s.Platform.SetFaults(standin.Faults{})
	if x.endPlatformDown != nil {
		x.endPlatformDown()
	}
	return nil
}

// acceptWithLostAnswers accepts a bundle while the platform loses the answers to
// the next two writes, and measures the time until the bundle is in force in every
// process.
func (x *script) acceptWithLostAnswers(ctx context.Context) error {
	cur, err := x.s.Bundles.Current(ctx)
	if err != nil {
		return err
	}
	x.s.Platform.SetFaults(standin.Faults{LoseAnswers: 2})
	start := time.Now()
	if err := x.s.acceptBundle(ctx, append([]byte("# Touched.\n"), cur.Signed.Text...)); err != nil {
		return err
	}
	return x.measureInForce(ctx, cur.Version+1, start)
}

// measureInForce waits until the version is in force, and records the time since
// start if it is the longest so far.
func (x *script) measureInForce(ctx context.Context, v bundle.Version, start time.Time) error {
	if err := x.s.WaitInForce(ctx, v); err != nil {
		return err
	}
	d := time.Since(start).Seconds()
	x.rec.update(func(r *Report) { r.BundleInForceSeconds = max(r.BundleInForceSeconds, d) })
	return nil
}

// outZone is the zone that zoneOut takes out.
const outZone = bundle.ZoneID(2)

func (x *script) zoneOut(ctx context.Context) error {
	x.moveFrom, x.endZoneOut = time.Now(), x.takeEnd()
	x.s.markZoneOut(outZone)
	a, err := x.s.Bundles.SetZone(ctx, x.s.Deployment.Zones[outZone-1], bundle.ZoneStateOut, "demo", x.s.signingKey)
	if err != nil {
		return err
	}
	x.zoneOutAt = time.Now()
	return x.measureInForce(ctx, a.Version, x.zoneOutAt)
}

// measureZoneOut records how long after zoneOutAt the zone's upstreams still started
// work or sent a line of a feed. It must run before the zone returns.
func (x *script) measureZoneOut() {
	var last time.Time
	for _, u := range x.s.RunningUpstreams() {
		if t := time.Unix(0, max(u.LastWork.Load(), u.LastSent.Load())); u.zone == outZone && t.After(last) {
			last = t
		}
	}
	x.rec.update(func(r *Report) { r.ZoneOutSeconds = max(0, last.Sub(x.zoneOutAt).Seconds()) })
}

func (x *script) zoneIn(ctx context.Context) error {
	x.measureZoneOut()
	a, err := x.s.Bundles.SetZone(ctx, x.s.Deployment.Zones[outZone-1], bundle.ZoneStateIn, "demo", x.s.signingKey)
	if err != nil {
		return err
	}
	x.s.clearZoneOut(outZone)
	x.moveTo = time.Now().Add(moveTail)
	err = x.measureInForce(ctx, a.Version, time.Now())
	x.s.SyncFabric()
	if x.endZoneOut != nil {
		x.endZoneOut()
	}
	return err
}
