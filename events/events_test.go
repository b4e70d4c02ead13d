package events

import (
	"bytes"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
)

var eventRow = regexp.MustCompile(`(?m)^\| (\d{4}) \| ([^|]+) \| (\w+) \|`)

func TestCatalogueMatchesDocs(t *testing.T) {
	b, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := map[string]bool{}
	for _, m := range eventRow.FindAllStringSubmatch(string(b), -1) {
		page[fmt.Sprintf("%s %s %s", m[1], m[2], m[3])] = true
	}
	code := map[string]bool{}
	for _, e := range Catalogue {
		code[fmt.Sprintf("%d %s %s", e.ID, e.Name, e.Level)] = true
	}
	for k := range code {
		if !page[k] {
			t.Errorf("in the catalogue but not in docs/EVENTS.md: %s", k)
		}
	}
	for k := range page {
		if !code[k] {
			t.Errorf("in docs/EVENTS.md but not in the catalogue: %s", k)
		}
	}
}

// usedIdentifiers returns the identifiers of this package that non-test code of
// other packages uses.
func usedIdentifiers(t *testing.T) map[string]bool {
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(p string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") || strings.HasPrefix(p, "../events/") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), p, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "events" {
					names[s.Sel.Name] = true
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestEveryEventIsLogged(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	in := usedIdentifiers(t)
	in["DecisionsLost"] = true // logged by this package itself
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if ok && v.Type != nil && fmt.Sprint(v.Type) == "ID" && !in[v.Names[0].Name] {
			t.Errorf("event %s is never logged", v.Names[0].Name)
		}
		return true
	})
}

// Log.Run falls behind while a balancer handles a burst of openings. The hot path
// must not block on the full queue, and the dropped decisions must be counted.
func TestFullQueueDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l := NewLog(slog.New(slog.NewTextHandler(&b, nil)))
		for range queueSize + 5 {
			l.AddDecision(Decision{ID: FlowOpened, Reason: ReasonFirst})
		}
		if l.Lost() != 5 {
			t.Errorf("%d decisions lost, want 5", l.Lost())
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		l.Run(ctx)
		if n := strings.Count(b.String(), "event=1001"); n != queueSize {
			t.Errorf("%d lines written, want one per queued decision", n)
		}
	})
}

func TestDecideAllocatesNothing(t *testing.T) {
	l := NewLog(slog.New(slog.DiscardHandler))
	if n := testing.AllocsPerRun(1000, func() { l.AddDecision(Decision{ID: FlowOpened}) }); n > 0 {
		t.Errorf("%v allocations per decision, want none", n)
	}
}
