package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/explain"
)

// ExplainOptions say what to explain.
type ExplainOptions struct {
	What  string   `arg:"" help:"Id of a request, or a caller's address and port."`
	Files []string `arg:"" optional:"" help:"Log files of balancers and agents; standard input if none." type:"existingfile"`
}

// Validate refuses an empty id, which most lines have.
func (o *ExplainOptions) Validate() error {
	if strings.TrimSpace(o.What) == "" {
		return eris.New("what to explain is missing: a request's id, or a caller's address and port")
	}
	return nil
}

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
	story := explain.Story(ls, o.What)
	if len(story) == 0 {
		return eris.Errorf("no line of %d tells of %s; it may have been left out, see linesLeftOut in /state", len(ls), o.What)
	}
	for _, l := range story {
		fmt.Fprintln(s.out, l)
	}
	return nil
}
