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

// maxZoneAttempts bounds the attempts of a zone change that conflicts with other
// operators' bundles.
const maxZoneAttempts = 20

// SetZone takes an availability zone out or back in.
//
// The change depends only on the state of that zone. If another operator's bundle
// was accepted in the meantime, only the zone's state is checked again in the new
// bundle and the change is applied on top of it. A zone change must not fail
// because somebody changed, say, the length of a queue. This corresponds to
// validating a predicate instead of the whole read set (Brägger and Reimer,
// Predicative Scheduling, ETH report 53, 1983); docs/DESIGN.md has the measurement.
func (d *BundleClient) SetZone(ctx context.Context, zone bundle.Name, to bundle.ZoneState, author string, key minisign.PrivateKey) (*bundle.Accepted, error) {
	var last error
	for range maxZoneAttempts {
		a, err := d.setZoneOnce(ctx, zone, to, author, key)
		var c *ConflictError
		if !errors.As(err, &c) {
			return a, err
		}
		last = err
	}
	return nil, last
}

func (d *BundleClient) setZoneOnce(ctx context.Context, zone bundle.Name, to bundle.ZoneState, author string, key minisign.PrivateKey) (*bundle.Accepted, error) {
	cur, err := d.Current(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if cur == nil {
		return nil, eris.Wrap(ErrNotAccepted, "no bundle has been accepted yet")
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
// whether it changed. Everything else in the text is preserved, including comments.
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
	return nil, false, eris.Wrapf(ErrNotAccepted, "the bundle has no availability zone %q, only %s", zone, zoneNames(b))
}

func replaceState(text []byte, i int, to bundle.ZoneState) ([]byte, error) {
	f, err := parser.ParseBytes(text, parser.ParseComments)
	if err != nil {
		return nil, eris.Wrap(err, "bundle")
	}
	p, err := yaml.PathString(fmt.Sprintf("$.zones[%d].state", i))
	if err != nil {
		return nil, eris.Wrap(err, "build YAML path of the availability zone's state")
	}
	if err := p.ReplaceWithReader(f, strings.NewReader(string(to))); err != nil {
		return nil, eris.Wrap(err, "replace the availability zone's state")
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
