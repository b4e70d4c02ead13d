package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/datagram"
)

// ErrBroken reports that a day has breaches: a guarantee to callers was violated.
var ErrBroken = errors.New("a promise was broken; see breaches in the report")

// Second counts the requests that started in one second of a day, by their outcome.
type Second struct {
	Begun int `json:"begun"`
	// InAim counts requests answered within their aim, the target latency of the route.
	InAim int `json:"inAim"`
	// Late counts requests answered after the target latency.
	Late int `json:"late"`
	// Failed counts requests that timed out.
	Failed int `json:"failed"`
}

// Share returns the share of requests that were answered within the target latency; 1 if
// no request started.
func (s Second) Share() float64 {
	if s.Begun == 0 {
		return 1
	}
	return float64(s.InAim) / float64(s.Begun)
}

// Day is the result of one simulated day.
type Day struct {
	Policy  Policy   `json:"policy"`
	Seed    uint64   `json:"seed"`
	Seconds []Second `json:"seconds"`
	Total   Second   `json:"total"`
	// Worst is the second with the lowest share, and WorstAt is its index.
	Worst   Second `json:"worst"`
	WorstAt int    `json:"worstAt"`
	// Shed counts the attempts that upstreams refused because their queues were full.
	// Resets counts flows and openings that were reset.
	Shed   int `json:"shed"`
	Resets int `json:"resets"`
	// ControlMost and ControlMean are the bytes of control messages that were sent to a
	// VM per second, with their IP and UDP headers: the maximum and the mean over the VMs.
	ControlMost int `json:"controlMost"`
	ControlMean int `json:"controlMean"`
	// ControlByKind are the bytes of control messages per second of all VMs together, by kind.
	ControlByKind map[string]int `json:"controlByKind"`
	// Script holds the faults that were drawn. On a day with breaches, it is reduced to
	// those that are needed to cause one.
	Script []string `json:"script,omitempty"`
	// Breaches are the violations of guarantees to callers, each with the time since the
	// start of the simulation.
	Breaches []string `json:"breaches,omitempty"`
}

// Report is the result of an experiment.
type Report struct {
	Balancers int   `json:"balancers"`
	Agents    int   `json:"agents"`
	Callers   int   `json:"callers"`
	Days      []Day `json:"days"`
}

// Run simulates the days, writes a table to out and writes the files that the options
// name. It returns ErrBroken if a day has breaches.
func Run(ctx context.Context, o Options, out io.Writer) error {
	fs, err := o.loadScript()
	if err != nil {
		return err
	}
	r := Report{Balancers: o.Balancers, Agents: o.Agents, Callers: o.callerCount()}
	for _, p := range o.Policy {
		for i := range o.Days {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			d, err := o.simulateDay(p, o.Seed+uint64(i), fs)
			if err != nil {
				return err
			}
			r.Days = append(r.Days, d)
		}
	}
	r.writeTable(out)
	if err := r.writeJSON(o.Report, out); err != nil {
		return err
	}
	if o.Plot != "" {
		if err := r.writePlot(o.Plot); err != nil {
			return eris.Wrap(err, "plot")
		}
	}
	return r.firstBreach()
}

// simulateDay simulates a day with the faults of the script, or with drawn faults.
func (o *Options) simulateDay(p Policy, seed uint64, fs []fault) (Day, error) {
	if o.Draw > 0 {
		return o.simulateDrawn(p, seed)
	}
	return o.simulate(p, seed, fs)
}

// loadScript reads and parses the script file, if there is one.
func (o *Options) loadScript() ([]fault, error) {
	if o.Script == "" {
		return nil, nil
	}
	f, err := os.Open(o.Script)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return parseScript(f, o.Zones)
}

const (
	// settleTime is how long a site runs before its callers start, and then again before
	// the day starts. In that time, processes discover each other and callers open flows.
	settleTime = 3 * time.Second
	// completionTime is how long the simulation runs after the end of the day, so that
	// the last requests are answered or fail.
	completionTime = 2 * time.Second
	// callerPause is the mean pause between a caller's requests.
	callerPause = time.Second
	// flowPerRequestInterval is n if every n-th caller opens a new flow for each request.
	flowPerRequestInterval = 4
)

// simulate simulates one day with the given faults.
func (o *Options) simulate(p Policy, seed uint64, fs []fault) (Day, error) {
	w, err := newSimulation(seed)
	if err != nil {
		return Day{}, err
	}
	w.placement, w.busyAt = p.placement()
	w.zones = o.Zones
	for i := range o.Balancers {
		var s size
		if i >= o.Balancers-o.Small {
			s = o.smallVMSize()
		}
		w.addBalancer(i, s)
	}
	for i := range o.Agents {
		w.addAgent(i, zoneName(i%o.Zones)).tick()
	}
	w.runUntil(settleTime)
	for i := range o.callerCount() {
		w.addCaller(i, callerPause).flowPerRequest = i%flowPerRequestInterval == flowPerRequestInterval-1
	}
	w.runUntil(2 * settleTime)
	w.dayStart, w.controlBytes, w.controlByKind = w.now, map[datagram.IP]int{}, map[datagram.Kind]int{}
	for _, f := range fs {
		w.after(f.at, func() { f.apply(w) })
	}
	resets, shed := w.resets, w.shed
	w.runUntil(w.dayStart + o.Length + completionTime)
	d := Day{Policy: p, Seed: seed, Shed: w.shed - shed, Resets: w.resets - resets, Breaches: w.breaches}
	d.countSeconds(w.seconds, int(o.Length/time.Second))
	d.countControl(w, o.Length+completionTime)
	return d, nil
}

// countSeconds stores the seconds of the day, without the time after its end, and
// computes the total and the worst second.
func (d *Day) countSeconds(ss []Second, length int) {
	d.Seconds = ss[:min(len(ss), length)]
	for i, s := range d.Seconds {
		d.Total.Begun += s.Begun
		d.Total.InAim += s.InAim
		d.Total.Late += s.Late
		d.Total.Failed += s.Failed
		if i == 0 || s.Share() < d.Worst.Share() {
			d.Worst, d.WorstAt = s, i
		}
	}
}

// countControl computes the control traffic per VM and second.
func (d *Day) countControl(w *simulation, length time.Duration) {
	sum := 0
	for _, n := range w.controlBytes {
		d.ControlMost = max(d.ControlMost, n)
		sum += n
	}
	s := max(1, int(length/time.Second))
	d.ControlMost /= s
	d.ControlByKind = map[string]int{}
	for k, n := range w.controlByKind {
		d.ControlByKind[k.String()] = n / s
	}
	d.ControlMean = sum / s / max(1, len(w.controlBytes))
}

// writeTable writes one row for each day.
func (r *Report) writeTable(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tseed\trequests\tin aim\tlate\tfailed\tworst second\tat\tshed\tresets\tcontrol B/s, most\tbreaches\t")
	for _, d := range r.Days {
		x := d.Total
		fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t\n",
			d.Policy, d.Seed, x.Begun, x.Share(), x.Late, x.Failed, d.Worst.Share(), d.WorstAt, d.Shed, d.Resets, d.ControlMost, len(d.Breaches))
	}
	t.Flush()
}

// writeJSON writes the report as JSON to the file, or to out for "-". It does nothing if
// no file is given.
func (r *Report) writeJSON(file string, out io.Writer) error {
	if file == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "report")
	}
	b = append(b, '\n')
	if file == "-" {
		_, err = out.Write(b)
		return err
	}
	return os.WriteFile(file, b, 0o644)
}

// faultsSuffix returns the drawn faults as the end of an error message.
func (d *Day) faultsSuffix() string {
	if len(d.Script) == 0 {
		return ""
	}
	return "; faults: " + strings.Join(d.Script, "; ")
}

// firstBreach returns an error with the first breach, or nil if no day has one.
func (r *Report) firstBreach() error {
	for _, d := range r.Days {
		if len(d.Breaches) > 0 {
			return eris.Wrapf(ErrBroken, "seed %d: %s%s", d.Seed, d.Breaches[0], d.faultsSuffix())
		}
	}
	return nil
}
