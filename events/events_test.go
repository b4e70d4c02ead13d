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

var row = regexp.MustCompile(`(?m)^\| (\d{4}) \| ([^|]+) \| (\w+) \|`)

func TestCataloguePageAndCodeAgree(t *testing.T) {
	b, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(b), -1) {
		page[fmt.Sprintf("%s %s %s", m[1], m[2], m[3])] = true
	}
	code := map[string]bool{}
	for _, e := range Catalogue {
		code[fmt.Sprintf("%d %s %s", e.ID, e.Name, e.Level)] = true
	}
	for k := range code {
		if !page[k] {
			t.Errorf("not on docs/EVENTS.md: %s", k)
		}
	}
	for k := range page {
		if !code[k] {
			t.Errorf("not in the catalogue: %s", k)
		}
	}
}

// used returns the names of this package's events that the other packages use.
func used(t *testing.T) map[string]bool {
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

func TestEveryEventIsLoggedSomewhere(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	in := used(t)
	in["DecisionsLost"] = true // this package's own
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if ok && v.Type != nil && fmt.Sprint(v.Type) == "ID" && !in[v.Names[0].Name] {
			t.Errorf("%s is on the page, but nothing logs it", v.Names[0].Name)
		}
		return true
	})
}

// The log's reader stands still while a balancer takes a storm of openings. The
// hot path must not wait for it; what is lost must be told.
func TestFullRingLosesAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l := NewLog(slog.New(slog.NewTextHandler(&b, nil)))
		for range ringSize + 5 {
			l.Decide(Decision{ID: FlowOpened, Reason: ReasonFirst})
		}
		if l.Lost() != 5 {
			t.Errorf("lost %d", l.Lost())
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		l.Run(ctx)
		if n := strings.Count(b.String(), "event=1001"); n != ringSize {
			t.Errorf("%d lines were written", n)
		}
	})
}

func TestDecideAllocatesNothing(t *testing.T) {
	l := NewLog(slog.New(slog.DiscardHandler))
	if n := testing.AllocsPerRun(1000, func() { l.Decide(Decision{ID: FlowOpened}) }); n > 0 {
		t.Errorf("%v allocations a decision", n)
	}
}
