package cli

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sebdah/goldie/v2"

	"bytes"

	"pomeloway.example/pomeloway/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pomeloway": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata/script. Each script has its own platform
// at $PLATFORM. At $NOBODY no process listens.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			p := &standin.Platform{}
			s := httptest.NewServer(p)
			e.Defer(s.Close)
			e.Values["platform"] = p
			e.Setenv("PLATFORM", s.URL)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			defer l.Close()
			e.Setenv("NOBODY", fmt.Sprintf("http://%s", l.Addr()))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// faults outage makes the platform refuse all calls; faults lose makes
			// it drop the response to the next write.
			"faults": func(ts *testscript.TestScript, _ bool, args []string) {
				var f standin.Faults
				switch args[0] {
				case "outage":
					f.Outage = true
				case "lose":
					f.LoseAnswers = 1
				}
				ts.Value("platform").(*standin.Platform).SetFaults(f)
			},
			// setfrom VAR FILE sets VAR to the value of the line VAR=value in FILE.
			"setfrom": func(ts *testscript.TestScript, _ bool, args []string) {
				for _, l := range bytes.Split([]byte(ts.ReadFile(args[1])), []byte("\n")) {
					if v, ok := bytes.CutPrefix(l, []byte(args[0]+"=")); ok {
						ts.Setenv(args[0], string(v))
						return
					}
				}
				ts.Fatalf("no line starts with %s= in %s", args[0], args[1])
			},
		},
	})
}

// TestHelp compares the help texts with the golden files.
func TestHelp(t *testing.T) {
	for name, args := range map[string][]string{
		"help": {"--help"}, "help-balancer": {"balancer", "--help"}, "help-agent": {"agent", "--help"},
		"help-accept": {"bundle", "accept", "--help"}, "help-demo": {"demo", "--help"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := Run(args, &out, &errs); code != exitOK {
				t.Fatalf("exit code %d: %s", code, errs.String())
			}
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}
