package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"aead.dev/minisign"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/operator"
	"pomeloway.example/pomeloway/platform"
)

// dispatchBundle runs the selected bundle command.
func dispatchBundle(ctx context.Context, cmd string, o *BundleOptions, s streams) error {
	switch cmd {
	case "bundle init":
		return bundleInit(o.Init, s)
	case "bundle validate <file>":
		return bundleValidate(o.Validate, s)
	case "bundle diff <file>":
		return bundleDiff(ctx, o.Diff, s)
	case "bundle sign <file>":
		return bundleSign(ctx, o.Sign, s)
	case "bundle accept <file>":
		return bundleAccept(ctx, o.Accept, s)
	case "bundle show", "bundle show <version>":
		return bundleShow(ctx, o.Show, s)
	case "bundle history":
		return bundleHistory(ctx, o.History, s)
	}
	return eris.Errorf("unknown command %q", cmd)
}

// bundleClient returns a client for the bundles on the platform.
func (o PlatformOptions) bundleClient() (*operator.BundleClient, error) {
	v, err := bundle.NewVerifier(o.Trust)
	if err != nil {
		return nil, eris.Wrap(err, "--trust ($POMELOWAY_TRUST)")
	}
	return &operator.BundleClient{Store: &platform.Client{URL: o.Platform, Token: o.Token}, Verifier: v}, nil
}

// current returns the bundle client and the bundle in force, which is nil until
// the first one is accepted.
func (o PlatformOptions) current(ctx context.Context) (*operator.BundleClient, *bundle.Accepted, error) {
	d, err := o.bundleClient()
	if err != nil {
		return nil, nil, err
	}
	a, err := d.Current(ctx)
	return d, a, err
}

// signer returns the bundle client and the operator's secret key.
func (o SignOptions) signer() (*operator.BundleClient, minisign.PrivateKey, error) {
	k, err := o.key()
	if err != nil {
		return nil, k, err
	}
	d, err := o.bundleClient()
	return d, k, err
}

// key reads the operator's secret key and decrypts it if it is encrypted.
func (o SignOptions) key() (minisign.PrivateKey, error) {
	b, err := os.ReadFile(o.Sign)
	if err != nil {
		return minisign.PrivateKey{}, eris.Wrap(err, "--sign ($POMELOWAY_SIGN)")
	}
	var k minisign.PrivateKey
	if minisign.IsEncrypted(b) {
		k, err = minisign.DecryptKey(o.Password, b)
	} else {
		err = k.UnmarshalText(b)
	}
	return k, eris.Wrap(err, "--sign ($POMELOWAY_SIGN)")
}

const initTemplate = `# First bundle. Check it with: pomeloway bundle validate FILE
services:
  - id: 1
    name: %s
    address: %s
    protocol: h3
    upstreams:
      slots: 5
      connections: 2000
      coldStart: {slots: 1, answers: 5}
    routes:
      # Requests below the prefix hold a connection and no slot.
      - {prefix: /feed, holds: connection}
zones:
%skeys:
  - {id: 1, fingerprint: %s}
currentKey: 1
`

func bundleInit(o BundleInit, s streams) error {
	zones := ""
	for i, z := range o.Zone {
		zones += fmt.Sprintf("  - {id: %d, name: %s, state: in}\n", i+1, z)
	}
	text := fmt.Sprintf(initTemplate, o.Service, o.Address, zones, o.Fingerprint)
	if _, err := bundle.Decode([]byte(text)); err != nil {
		return err
	}
	fmt.Fprint(s.out, text)
	return nil
}

// readBundle reads a bundle file and checks it. The findings name the file.
func readBundle(name string) ([]byte, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read bundle")
	}
	_, err = bundle.Decode(b)
	var f bundle.Findings
	if errors.As(err, &f) {
		return nil, f.InFile(name)
	}
	return b, err
}

func bundleValidate(o BundleValidate, s streams) error {
	b, err := readBundle(o.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s is valid: %d bytes, digest %s\n", o.File, len(b), bundle.DigestOf(b))
	return nil
}

func bundleDiff(ctx context.Context, o BundleDiff, s streams) error {
	b, err := readBundle(o.File)
	if err != nil {
		return err
	}
	_, cur, err := o.current(ctx)
	if err != nil {
		return err
	}
	from, name := "", "no bundle in force"
	if cur != nil {
		from, name = cur.Signed.Text, fmt.Sprintf("version %d in force", cur.Version)
	}
	return printDiff(s, name, from, o.File, string(b))
}

const diffContext = 3

func printDiff(s streams, fromName, from, toName, to string) error {
	t, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to), FromFile: fromName, ToFile: toName, Context: diffContext,
	})
	fmt.Fprint(s.out, t)
	return err
}

func bundleSign(ctx context.Context, o BundleSign, s streams) error {
	b, err := readBundle(o.File)
	if err != nil {
		return err
	}
	d, k, err := o.signer()
	if err != nil {
		return err
	}
	x, err := d.Sign(ctx, b, o.Author, k)
	if err != nil {
		return err
	}
	a, err := d.Verifier.Verify(x)
	if err != nil {
		return eris.Wrap(err, "the key in --sign does not match any key in --trust")
	}
	if o.Out == "" {
		o.Out = o.File + ".signed"
	}
	text, err := json.MarshalIndent(x, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode signed bundle")
	}
	if err := os.WriteFile(o.Out, append(text, '\n'), publicFileMode); err != nil {
		return eris.Wrap(err, "--out")
	}
	fmt.Fprintf(s.out, "signed as version %d by %s, digest %s: %s\n", a.Version, a.Author, a.Digest, o.Out)
	return nil
}

const publicFileMode = 0o644

func bundleAccept(ctx context.Context, o BundleAccept, s streams) error {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return eris.Wrap(err, "read signed bundle")
	}
	x, err := bundle.DecodeSigned(b)
	if err != nil {
		return err
	}
	d, err := o.bundleClient()
	if err != nil {
		return err
	}
	a, err := d.Accept(ctx, x)
	var c *operator.ConflictError
	if errors.As(err, &c) && c.Current != nil {
		printDiff(s, fmt.Sprintf("version %d by %s, in force", c.Current.Version, c.Current.Author), c.Current.Signed.Text, o.File, x.Text)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "accepted version %d, digest %s\n", a.Version, a.Digest)
	return nil
}

func bundleShow(ctx context.Context, o BundleShow, s streams) error {
	d, a, err := o.current(ctx)
	if err == nil && o.Version != 0 {
		a, err = d.History(ctx, o.Version)
	}
	if err != nil {
		return err
	}
	if a == nil {
		return eris.New("no bundle has been accepted yet")
	}
	fmt.Fprint(s.out, a.Signed.Text)
	return nil
}

func bundleHistory(ctx context.Context, o BundleHistory, s streams) error {
	d, a, err := o.current(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "VERSION\tAUTHOR\tDIGEST\tPARENT")
	for n := 0; a != nil && n < o.Most; n++ {
		fmt.Fprintf(w, "%d\t%s\t%.12s\t%.12s\n", a.Version, a.Author, a.Digest, a.Parent)
		if a.Version == 1 {
			break
		}
		a, err = d.History(ctx, a.Version-1)
		if errors.Is(err, platform.ErrNotFound) {
			return nil // older versions were pruned
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func setZoneState(ctx context.Context, o ZoneStateChange, to bundle.ZoneState, s streams) error {
	d, k, err := o.signer()
	if err != nil {
		return err
	}
	a, err := d.SetZone(ctx, o.Zone, to, o.Author, k)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "zone %s is %s in version %d; to wait until it is in force in every process, run: pomeloway status --wait\n", o.Zone, to, a.Version)
	return nil
}
