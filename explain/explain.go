// Package explain merges the logs of many processes into a trace of one flow or
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

// Line is one event in a process's log.
type Line struct {
	Time    time.Time `json:"time"`
	Event   events.ID `json:"event"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Caller  string    `json:"caller"`
	Address string    `json:"address"`
	Request string    `json:"request"`

	fields map[string]any // all fields of the JSON line, including those above
}

// maxLine bounds the length of a log line, in bytes.
const maxLine = 1 << 20

// Read parses the events in a log. It skips any text before the JSON object of a
// line, such as a log collector's prefix, and lines without a valid event.
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
		d.UseNumber() // a float64 would round the 64-bit numbers of incarnations ("life")
		if d.Decode(&l.fields) != nil {
			continue
		}
		ls = append(ls, l)
	}
	return ls, eris.Wrap(s.Err(), "log")
}

// Trace returns the lines about a request, given by its id, or about a caller,
// given by its address and port, ordered by time. Besides the lines of the
// caller's flows these are all lines without a caller, such as state changes of
// agents, that the processes involved logged at about the same time.
func Trace(ls []Line, what string) []Line {
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
	from, to := own[0].Time.Add(-contextWindow), own[len(own)-1].Time.Add(contextWindow)
	for _, l := range ls {
		if l.Caller == "" && nodes[l.Node] && l.Time.After(from) && l.Time.Before(to) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// contextWindow is how long before the first and after the last line of a flow
// other lines of the same processes are included. The requirements limit how long
// a process may act on outdated state to a few seconds.
const contextWindow = 2 * time.Second

// headerFields are the fields that String does not repeat as key=value: those at
// the start of the formatted line, and the level, which follows from the event.
var headerFields = []string{"time", "level", "msg", "event", "node"}

// String formats the line for display: time, node, event number and message, then
// the other fields sorted by key.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-24s %d %s", l.Time.Format("15:04:05.000000"), l.Node, l.Event, l.Message)
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains(headerFields, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}
