package explain

import (
	"strings"
	"testing"
)

const recordedLog = `collector 1: {"time":"2026-10-15T13:20:36.100Z","level":"INFO","msg":"opening given to an agent","event":1101,"node":"front-a-1","caller":"100.64.0.9:1079","address":"198.18.0.1:8080","peer":"10.1.0.24","count":1,"version":16}
{"time":"2026-10-15T13:20:36.160Z","level":"INFO","msg":"opening goes to the next agent","event":1102,"node":"front-a-1","caller":"100.64.0.9:1079","address":"198.18.0.1:8080","peer":"10.1.0.24","reason":"noAnswer","count":1,"version":16,"ageMs":60.1}
{"time":"2026-10-15T13:20:36.170Z","level":"INFO","msg":"request under way","event":2201,"node":"side-b-1","caller":"100.64.0.9:1079","address":"198.18.0.1:8080","request":"7a-b","count":3,"version":16}
{"time":"2026-10-15T13:20:35.900Z","level":"INFO","msg":"agent changed","event":3101,"node":"front-a-1","agent":"10.1.0.24","state":"ready","leaving":false,"cold":0,"life":8577596922004601999}
{"time":"2026-10-15T13:20:35.900Z","level":"INFO","msg":"agent changed","event":3101,"node":"front-c-1","agent":"10.1.0.24","state":"ready","leaving":false,"cold":0,"life":7}
{"time":"2026-10-15T13:20:36.165Z","level":"INFO","msg":"opening given to an agent","event":1101,"node":"front-a-1","caller":"100.64.0.8:1079","address":"198.18.0.1:8080","peer":"10.1.0.25","count":1,"version":16}
not a line of ours
{"broken":
`

// An engineer looks up a slow request by its id in the interleaved logs of many
// processes. The result must include the related events and no others.
func TestTrace(t *testing.T) {
	ls, err := Read(strings.NewReader(recordedLog))
	if err != nil || len(ls) != 6 {
		t.Fatalf("read %d lines, err %v", len(ls), err)
	}
	if s := ls[3].String(); !strings.Contains(s, "life=8577596922004601999") {
		t.Errorf("the field life was not kept exactly: %s", s)
	}
	for name, x := range map[string]struct {
		what string
		want []string
	}{
		"by id":     {"7a-b", []string{"front-a-1 3101", "front-a-1 1101", "front-a-1 1102", "side-b-1 2201"}},
		"by caller": {"100.64.0.8:1079", []string{"front-a-1 3101", "front-a-1 1101"}},
		"unknown":   {"nobody", nil},
		"empty":     {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			got := Trace(ls, x.what)
			if len(got) != len(x.want) {
				t.Fatalf("got %d lines: %v", len(got), got)
			}
			for i := range got {
				n, e, _ := strings.Cut(x.want[i], " ")
				if s := got[i].String(); !strings.Contains(s, n) || !strings.Contains(s, " "+e+" ") {
					t.Errorf("line %d is %s, want %s", i, s, x.want[i])
				}
			}
		})
	}
}
