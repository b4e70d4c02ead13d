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

// ErrBroken says that a promise to callers was broken on some day.
var ErrBroken = errors.New("a promise was broken; see breaches in the report")

// Second is what became of the requests that began in one second of a day.
type Second struct {
	Begun  int `json:"begun"`
	InAim  int `json:"inAim"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
}

// Share returns the requests that were answered within their aim, as a share of those
// that began; 1 if none did.
func (s Second) Share() float64 {
	if s.Begun == 0 {
		return 1
	}
	return float64(s.InAim) / float64(s.Begun)
}

// Day is what one day came to.
type Day struct {
	Policy  Policy   `json:"policy"`
	Seed    uint64   `json:"seed"`
	Seconds []Second `json:"seconds"`
	Total   Second   `json:"total"`
	// Worst is the second with the least share, WorstAt which one that is.
	Worst   Second `json:"worst"`
	WorstAt int    `json:"worstAt"`
	// Shed are tries that upstreams refused, Resets flows and openings that were reset.
	Shed   int `json:"shed"`
	Resets int `json:"resets"`
	// ControlMost and ControlMean are bytes of control messages that a VM heard in a
	// second, the most and on average, with their IP and UDP headers.
	ControlMost int `json:"controlMost"`
	ControlMean int `json:"controlMean"`
	// Script is the faults that were drawn; of a day with breaches those that are needed.
	Script []string `json:"script,omitempty"`
	// Breaches are promises that were broken, with the time since the site's start.
	Breaches []string `json:"breaches,omitempty"`
}

// Report is what an experiment came to.
type Report struct {
	Balancers int   `json:"balancers"`
	Agents    int   `json:"agents"`
	Callers   int   `json:"callers"`
	Days      []Day `json:"days"`
}

// Run plays the days and writes a table to out and the files that the options name. It
// returns ErrBroken if a promise was broken.
func Run(ctx context.Context, o Options, out io.Writer) error {
	fs, err := o.script()
	if err != nil {
		return err
	}
	r := Report{Balancers: o.Balancers, Agents: o.Agents, Callers: o.callers()}
	for _, p := range o.Policy {
		for i := range o.Days {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			d, err := o.day(p, o.Seed+uint64(i), fs)
			if err != nil {
				return err
			}
			r.Days = append(r.Days, d)
		}
	}
	r.table(out)
	if err := r.write(o.Report, out); err != nil {
		return err
	}
	if o.Plot != "" {
		if err := r.plot(o.Plot); err != nil {
			return eris.Wrap(err, "plot")
		}
	}
	return r.broken()
}

// day plays a day of the script, or of drawn faults.
func (o *Options) day(p Policy, seed uint64, fs []fault) (Day, error) {
	if o.Draw > 0 {
		return o.playDrawn(p, seed)
	}
	return o.play(p, seed, fs)
}

func (o *Options) script() ([]fault, error) {
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
	// settle is how long a site runs before its callers come, and with them before the
	// day begins, so that all have heard of each other and flows are open.
	settle = 3 * time.Second
	// after is how long a day is played on, so that its last requests end.
	after = 2 * time.Second
	// callerPause is the mean pause between a caller's requests.
	callerPause = time.Second
	// freshEach is how many callers have one who opens a flow for each request.
	freshEach = 4
)

// play plays one day.
func (o *Options) play(p Policy, seed uint64, fs []fault) (Day, error) {
	w, err := newWorld(seed)
	if err != nil {
		return Day{}, err
	}
	w.placement, w.busyAt = p.placement()
	for i := range o.Balancers {
		var s size
		if i >= o.Balancers-o.Small {
			s = o.small()
		}
		w.addBalancer(i, s)
	}
	for i := range o.Agents {
		w.addAgent(i, zoneName(i%o.Zones)).tick()
	}
	w.run(settle)
	for i := range o.callers() {
		w.addCaller(i, callerPause).fresh = i%freshEach == freshEach-1
	}
	w.run(2 * settle)
	w.dayStart, w.heard = w.now, map[datagram.IP]int{}
	for _, f := range fs {
		w.after(f.at, func() { f.do(w) })
	}
	resets, shed := w.resets, w.shed
	w.run(w.dayStart + o.Length + after)
	d := Day{Policy: p, Seed: seed, Shed: w.shed - shed, Resets: w.resets - resets, Breaches: w.breaches}
	d.count(w.seconds, int(o.Length/time.Second))
	d.control(w, o.Length+after)
	return d, nil
}

// count takes in the seconds of the day itself.
func (d *Day) count(ss []Second, length int) {
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

func (d *Day) control(w *world, length time.Duration) {
	sum := 0
	for _, n := range w.heard {
		d.ControlMost = max(d.ControlMost, n)
		sum += n
	}
	s := max(1, int(length/time.Second))
	d.ControlMost /= s
	d.ControlMean = sum / s / max(1, len(w.heard))
}

func (r *Report) table(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tseed\trequests\tin aim\tlate\tfailed\tworst second\tat\tshed\tresets\tcontrol B/s, most\tbreaches\t")
	for _, d := range r.Days {
		x := d.Total
		fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t\n",
			d.Policy, d.Seed, x.Begun, x.Share(), x.Late, x.Failed, d.Worst.Share(), d.WorstAt, d.Shed, d.Resets, d.ControlMost, len(d.Breaches))
	}
	t.Flush()
}

// write writes the report as JSON to the file, or to out for "-".
func (r *Report) write(file string, out io.Writer) error {
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

// faults returns the drawn faults as the end of a message.
func (d *Day) faults() string {
	if len(d.Script) == 0 {
		return ""
	}
	return "; faults: " + strings.Join(d.Script, "; ")
}

func (r *Report) broken() error {
	for _, d := range r.Days {
		if len(d.Breaches) > 0 {
			return eris.Wrapf(ErrBroken, "seed %d: %s%s", d.Seed, d.Breaches[0], d.faults())
		}
	}
	return nil
}
