package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"aead.dev/minisign"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
)

// zoneTries bounds how often a zone move meets another operator's bundle.
const zoneTries = 20

// SetZone takes an availability zone out or back in.
//
// The move reads one thing of the bundle, that zone. When another operator's
// bundle came first, only that is looked at again in the new bundle, and the
// move is made on top of it; a move of a zone must not be refused because
// somebody changed a queue's length. This is the validation of a predicate in
// place of a whole read set of Brägger and Reimer (Predicative Scheduling, ETH
// report 53, 1983); docs/DESIGN.md has the measurement.
func (d *Desk) SetZone(ctx context.Context, zone bundle.Name, to bundle.ZoneState, author string, key minisign.PrivateKey) (*bundle.Accepted, error) {
	var last error
	for range zoneTries {
		a, err := d.setZoneOnce(ctx, zone, to, author, key)
		var c *Conflict
		if !errors.As(err, &c) {
			return a, err
		}
		last = err
	}
	return nil, last
}

func (d *Desk) setZoneOnce(ctx context.Context, zone bundle.Name, to bundle.ZoneState, author string, key minisign.PrivateKey) (*bundle.Accepted, error) {
	cur, err := d.Current(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if cur == nil {
		return nil, eris.Wrap(ErrNotAccepted, "there is no bundle yet")
	}
	text, changed, err := EditZone([]byte(cur.Signed.Text), zone, to)
	if err != nil || !changed {
		return cur, err
	}
	s, err := signChild(cur, text, author, key)
	if err != nil {
		return nil, err
	}
	return d.Accept(ctx, s)
}

// EditZone returns the bundle's text with the state of the zone changed, and
// everything else, comments too, as it was.
func EditZone(text []byte, zone bundle.Name, to bundle.ZoneState) ([]byte, bool, error) {
	b, err := bundle.Decode(text)
	if err != nil {
		return nil, false, err
	}
	for i, z := range b.Zones {
		if z.Name != zone {
			continue
		}
		if z.State == to {
			return text, false, nil
		}
		out, err := replaceState(text, i, to)
		return out, true, err
	}
	return nil, false, eris.Wrapf(ErrNotAccepted, "the bundle has no availability zone %q; it has %s", zone, zoneNames(b))
}

func replaceState(text []byte, i int, to bundle.ZoneState) ([]byte, error) {
	f, err := parser.ParseBytes(text, parser.ParseComments)
	if err != nil {
		return nil, eris.Wrap(err, "bundle")
	}
	p, err := yaml.PathString(fmt.Sprintf("$.zones[%d].state", i))
	if err != nil {
		return nil, eris.Wrap(err, "zone's path")
	}
	if err := p.ReplaceWithReader(f, strings.NewReader(string(to))); err != nil {
		return nil, eris.Wrap(err, "zone's state")
	}
	return []byte(f.String()), nil
}

func zoneNames(b *bundle.Bundle) string {
	var n []string
	for _, z := range b.Zones {
		n = append(n, string(z.Name))
	}
	return strings.Join(n, ", ")
}
