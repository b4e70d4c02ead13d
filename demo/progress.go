package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"pomeloway.example/pomeloway/clock"
)

// progress prints the progress of a run: a line for each step and, on a terminal,
// a status line that is redrawn.
type progress struct {
	w     io.Writer
	live  bool
	rec   *recorder
	start time.Time
	total time.Duration
	last  string
}

func newProgress(w io.Writer, rec *recorder, total time.Duration) *progress {
	p := &progress{w: w, rec: rec, start: time.Now(), total: total, last: "all processes are running"}
	if f, ok := w.(*os.File); ok {
		i, err := f.Stat()
		p.live = err == nil && i.Mode()&os.ModeCharDevice != 0
	}
	return p
}

// redraw is the interval at which the status line is redrawn.
const redraw = 200 * time.Millisecond

// say prints a step of the run.
func (p *progress) say(text string) {
	p.rec.mu.Lock()
	p.last = text
	p.rec.mu.Unlock()
	fmt.Fprintf(p.w, "%s%5.1fs  %s\n", p.clear(), time.Since(p.start).Seconds(), text)
}

// clear returns the control sequence that clears the status line, if there is
// one.
func (p *progress) clear() string {
	if p.live {
		return "\r\x1b[K"
	}
	return ""
}

// run redraws the status line until the context ends.
func (p *progress) run(ctx context.Context) {
	for p.live && ctx.Err() == nil {
		clock.Sleep(ctx, redraw)
		p.draw()
	}
	fmt.Fprintf(p.w, "%s%5.1fs  callers finish their last requests and feeds\n", p.clear(), time.Since(p.start).Seconds())
}

// barWidth is the width of the progress bar in characters.
const barWidth = 24

// draw prints the status line.
func (p *progress) draw() {
	p.rec.mu.Lock()
	r, last := p.rec.r, p.last
	p.rec.mu.Unlock()
	done := min(barWidth, int(float64(barWidth)*float64(time.Since(p.start))/float64(p.total)))
	fmt.Fprintf(p.w, "%s[%s%s] flows %d, broken %d | answered %d, refused %d, unknown %d | feed lines %d | %s",
		p.clear(), strings.Repeat("#", done), strings.Repeat(".", barWidth-done),
		r.FlowsOpened, r.BrokenFlows, r.RequestsAnswered, r.RequestsRefused, r.RequestsUnknown, r.FeedLines, last)
}
