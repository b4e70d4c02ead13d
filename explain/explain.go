// Package explain joins the logs of many processes into the story of one flow or
// request, for on-call engineers.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/events"
)

// Line is one line of a process's log.
type Line struct {
	Time    time.Time `json:"time"`
	Event   events.ID `json:"event"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Caller  string    `json:"caller"`
	Address string    `json:"address"`
	Request string    `json:"request"`

	fields map[string]any
}

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Read reads the lines of a log. What stands before a line's JSON, such as the
// stamp of a collector, and lines that are no JSON are passed over.
func Read(r io.Reader) ([]Line, error) {
	var ls []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		b := s.Bytes()
		i := bytes.IndexByte(b, '{')
		if i < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(b[i:], &l) != nil || l.Event == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(b[i:]))
		d.UseNumber() // a life has more digits than a float holds
		if d.Decode(&l.fields) != nil {
			continue
		}
		ls = append(ls, l)
	}
	return ls, eris.Wrap(s.Err(), "log")
}

// Story returns the lines that tell of the request's id, or of the caller's
// address and port, in order of time: those of its flows, and what the processes
// on its way came to believe while it lasted.
func Story(ls []Line, what string) []Line {
	callers := map[string]bool{}
	for _, l := range ls {
		if what != "" && (l.Request == what || l.Caller == what) {
			callers[l.Caller] = true
		}
	}
	var own []Line
	nodes := map[string]bool{}
	for _, l := range ls {
		if l.Caller != "" && callers[l.Caller] {
			own = append(own, l)
			nodes[l.Node] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	for _, l := range ls {
		if l.Caller == "" && nodes[l.Node] && l.Time.After(from) && l.Time.Before(to) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// around is how long before and after a flow's lines a process's beliefs matter:
// the longest bound of the users' rules on them is some seconds.
const around = 2 * time.Second

// shown are fields that a line's beginning shows already, or all lines share.
var shown = []string{"time", "level", "msg", "event", "node"}

// String returns the line for people.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-24s %d %s", l.Time.Format("15:04:05.000000"), l.Node, l.Event, l.Message)
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains(shown, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}
