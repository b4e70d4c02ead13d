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
	w          io.Writer
	isTerminal bool
	rec        *recorder
	start      time.Time
	total      time.Duration
	lastStep   string
}

func newProgress(w io.Writer, rec *recorder, total time.Duration) *progress {
	p := &progress{w: w, rec: rec, start: time.Now(), total: total, lastStep: "all processes are running"}
	if f, ok := w.(*os.File); ok {
		i, err := f.Stat()
		p.isTerminal = err == nil && i.Mode()&os.ModeCharDevice != 0
	}
	return p
}

// redrawInterval is the interval at which the status line is redrawn.
const redrawInterval = 200 * time.Millisecond

// printStep prints a step of the run.
func (p *progress) printStep(text string) {
	p.rec.mu.Lock()
	p.lastStep = text
	p.rec.mu.Unlock()
	fmt.Fprintf(p.w, "%s%5.1fs  %s\n", p.clearLine(), time.Since(p.start).Seconds(), text)
}

// clearLine returns the control sequence that clears the status line, if there is
// one.
func (p *progress) clearLine() string {
	if p.isTerminal {
		return "\r\x1b[K"
	}
	return ""
}

// run redraws the status line, if the output is a terminal, until the context
// ends. It then prints that the callers finish.
func (p *progress) run(ctx context.Context) {
	for p.isTerminal && ctx.Err() == nil {
		clock.Sleep(ctx, redrawInterval)
		p.draw()
	}
	fmt.Fprintf(p.w, "%s%5.1fs  callers finish their last requests and feeds\n", p.clearLine(), time.Since(p.start).Seconds())
}

// barWidth is the width of the progress bar in characters.
const barWidth = 24

// draw prints the status line.
func (p *progress) draw() {
	p.rec.mu.Lock()
	r, lastStep := p.rec.r, p.lastStep
	p.rec.mu.Unlock()
	done := min(barWidth, int(float64(barWidth)*float64(time.Since(p.start))/float64(p.total)))
	fmt.Fprintf(p.w, "%s[%s%s] flows %d, broken %d | answered %d, refused %d, unknown %d | feed lines %d | %s",
		p.clearLine(), strings.Repeat("#", done), strings.Repeat(".", barWidth-done),
		r.FlowsOpened, r.BrokenFlows, r.RequestsAnswered, r.RequestsRefused, r.RequestsUnknown, r.FeedLines, lastStep)
}
