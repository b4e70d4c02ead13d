package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/explain"
)

// ExplainOptions are the options of the explain command.
type ExplainOptions struct {
	What  string   `arg:"" help:"ID of a request, or a caller's address and port."`
	Files []string `arg:"" optional:"" help:"Log files of balancers and agents; standard input if not given." type:"existingfile"`
}

// Validate rejects an empty ID. Most log lines have an empty request ID and would
// match it.
func (o *ExplainOptions) Validate() error {
	if strings.TrimSpace(o.What) == "" {
		return eris.New("<what> is empty: give the ID of a request, or a caller's address and port")
	}
	return nil
}

// runExplain prints the log lines that concern one request or flow, ordered by
// time.
func runExplain(o ExplainOptions, s streams) error {
	var ls []explain.Line
	read := func(r io.Reader) error {
		x, err := explain.Read(r)
		ls = append(ls, x...)
		return err
	}
	if len(o.Files) == 0 {
		if err := read(os.Stdin); err != nil {
			return err
		}
	}
	for _, n := range o.Files {
		f, err := os.Open(n)
		if err != nil {
			return err
		}
		err = read(f)
		f.Close()
		if err != nil {
			return eris.Wrap(err, n)
		}
	}
	trace := explain.Trace(ls, o.What)
	if len(trace) == 0 {
		return eris.Errorf("none of %d log lines mentions %s; lines may have been left out, see linesLeftOut in /state", len(ls), o.What)
	}
	for _, l := range trace {
		fmt.Fprintln(s.out, l)
	}
	return nil
}
