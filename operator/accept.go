// Package operator implements the operators' commands: putting bundles into force,
// taking availability zones out and back in, and checking which version each
// process has in force.
package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"aead.dev/minisign"
	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/platform"
)

// currentBundle is the platform object that holds the bundle in force.
const currentBundle = "current"

// Errors of Accept.
var (
	// ErrNotAccepted means that the bundle has certainly not come into force.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown means that the platform's responses were lost, so that the bundle
	// may or may not be in force.
	ErrOutcomeUnknown = errors.New("not known whether accepted")
)

// ConflictError is the error of Accept for a bundle whose parent is not the one in
// force. Current is the conflicting bundle, nil if none was ever accepted.
type ConflictError struct {
	Current *bundle.Accepted
	Mine    bundle.Stamp
}

// Error names the bundle in force and its author, and the rejected bundle.
func (c *ConflictError) Error() string {
	if c.Current == nil {
		return fmt.Sprintf("%v: version %d needs a parent bundle, but no bundle has been accepted yet", ErrNotAccepted, c.Mine.Version)
	}
	return fmt.Sprintf("%v: version %d by %s is in force (digest %.12s); yours is version %d with parent %.12s",
		ErrNotAccepted, c.Current.Version, orUnnamed(c.Current.Author), c.Current.Digest, c.Mine.Version, c.Mine.Parent)
}

// Unwrap returns ErrNotAccepted.
func (c *ConflictError) Unwrap() error { return ErrNotAccepted }

func orUnnamed(s string) string {
	if s == "" {
		return "an unnamed operator"
	}
	return s
}

// Store is the part of the platform's API that this package uses.
type Store interface {
	Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error)
	Create(ctx context.Context, k platform.Kind, name string, v any) (platform.Object, error)
	Update(ctx context.Context, k platform.Kind, name string, v any, at platform.Revision) (platform.Object, error)
	Delete(ctx context.Context, k platform.Kind, name string, at platform.Revision) error
}

// BundleClient signs bundles, puts them into force on the platform and reads them back.
type BundleClient struct {
	Store    Store
	Verifier *bundle.Verifier
}

// currentObject is the accepted bundle and the platform revision at which it was
// read. It is the zero value if no bundle was ever accepted.
type currentObject struct {
	*bundle.Accepted
	at platform.Revision
}

// Current returns the accepted bundle, or nil if none was ever accepted.
func (d *BundleClient) Current(ctx context.Context) (*bundle.Accepted, error) {
	h, err := d.readCurrent(ctx)
	return h.Accepted, err
}

func (d *BundleClient) readCurrent(ctx context.Context) (currentObject, error) {
	o, err := d.Store.Get(ctx, platform.KindBundle, currentBundle)
	if errors.Is(err, platform.ErrNotFound) {
		return currentObject{}, nil
	}
	if err != nil {
		return currentObject{}, err
	}
	a, err := d.verifyObject(o)
	return currentObject{a, o.Meta.Revision}, err
}

func (d *BundleClient) verifyObject(o platform.Object) (*bundle.Accepted, error) {
	s, err := bundle.DecodeSigned(o.Spec)
	if err != nil {
		return nil, err
	}
	return d.Verifier.Verify(s)
}

// Sign signs the text as the next version, with the accepted bundle as its parent.
func (d *BundleClient) Sign(ctx context.Context, text []byte, author string, key minisign.PrivateKey) (bundle.Signed, error) {
	h, err := d.readCurrent(ctx)
	if err != nil {
		return bundle.Signed{}, err
	}
	return signChild(h.Accepted, text, author, key)
}

func signChild(parent *bundle.Accepted, text []byte, author string, key minisign.PrivateKey) (bundle.Signed, error) {
	s := bundle.Stamp{Version: 1, Author: author}
	if parent != nil {
		s.Version, s.Parent = parent.Version+1, parent.Digest
	}
	return bundle.Sign(text, s, key)
}

const (
	// maxAcceptAttempts bounds the attempts to accept a bundle. Each reads the
	// accepted bundle first, and so detects a write whose response was lost.
	maxAcceptAttempts = 10
	// initialAcceptDelay is the delay before the second attempt. Further delays
	// grow exponentially, with jitter.
	initialAcceptDelay = 50 * time.Millisecond
)

func acceptBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialAcceptDelay
	return b
}

// Accept puts the signed bundle into force if its parent is in force.
//
// The platform's response may be lost after the write took effect. If that were
// reported as a failure, the operator would roll the bundle out a second time.
// Accept therefore retries by first reading the accepted bundle. If it is the one
// to accept, the write took effect; if it is another, there is a conflict; if it
// is still the parent, the write is repeated. That is safe because the write is
// conditional and takes effect at most once.
func (d *BundleClient) Accept(ctx context.Context, s bundle.Signed) (*bundle.Accepted, error) {
	mine, err := d.Verifier.Verify(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	wrote := false
	op := func() (*bundle.Accepted, error) {
		h, err := d.readCurrent(ctx)
		if err != nil {
			return nil, err
		}
		if done, err := d.isAccepted(ctx, h, mine, wrote); done || err != nil {
			return mine, err
		}
		if err := d.keepHistory(ctx, h); err != nil {
			return nil, err
		}
		wrote = true
		if err := d.replaceCurrent(ctx, h, s); err != nil {
			return nil, err
		}
		return mine, nil
	}
	a, err := backoff.Retry(ctx, op, backoff.WithBackOff(acceptBackoff()), backoff.WithMaxTries(maxAcceptAttempts))
	switch {
	case err == nil:
		d.prune(ctx, a.Version)
		return a, nil
	case errors.Is(err, ErrNotAccepted), errors.Is(err, ErrOutcomeUnknown):
		return nil, err
	case wrote:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotAccepted, err)
}

// isAccepted reports whether the bundle has been accepted already. It returns a
// ConflictError, marked as permanent, if it can no longer be accepted.
func (d *BundleClient) isAccepted(ctx context.Context, h currentObject, mine *bundle.Accepted, wrote bool) (bool, error) {
	cur := h.Accepted
	switch {
	case cur == nil && mine.Version == 1 && mine.Parent == "":
		return false, nil
	case cur == nil:
		return false, backoff.Permanent(&ConflictError{Mine: mine.Stamp})
	case cur.Version == mine.Version && cur.Digest == mine.Digest && cur.Parent == mine.Parent:
		return true, nil
	case cur.Version+1 == mine.Version && cur.Digest == mine.Parent:
		return false, nil
	case wrote && cur.Version > mine.Version:
		return d.isInHistory(ctx, mine)
	}
	return false, backoff.Permanent(&ConflictError{Current: cur, Mine: mine.Stamp})
}

// isInHistory reports whether the bundle was accepted and has since been replaced
// by a later version. This happens when the response to its own write was lost.
func (d *BundleClient) isInHistory(ctx context.Context, mine *bundle.Accepted) (bool, error) {
	o, err := d.Store.Get(ctx, platform.KindHistory, historyName(mine.Version))
	if err != nil {
		return false, err
	}
	a, err := d.verifyObject(o)
	if err != nil {
		return false, err
	}
	if a.Digest != mine.Digest {
		return false, backoff.Permanent(&ConflictError{Current: a, Mine: mine.Stamp})
	}
	return true, nil
}

func historyName(v bundle.Version) string { return fmt.Sprintf("%012d", v) }

// keepHistory stores the accepted bundle in the history before it is replaced, so
// that no version is lost if the operator's command is interrupted.
func (d *BundleClient) keepHistory(ctx context.Context, h currentObject) error {
	if h.Accepted == nil {
		return nil
	}
	_, err := d.Store.Create(ctx, platform.KindHistory, historyName(h.Version), h.Signed)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

const (
	// maxHistoryVersions is the number of earlier versions that are kept: more than
	// one day of a large fleet, which has 830 changes. That is about 210 MB of
	// bundles.
	maxHistoryVersions = 1000
	// extraPrunes is the number of still older versions that are also removed, in
	// case an earlier command failed to remove them.
	extraPrunes = 3
	// pruneTimeout bounds the time that pruning adds to Accept.
	pruneTimeout = 2 * time.Second
)

// prune removes the version that exceeds maxHistoryVersions after version v was
// accepted, and the extraPrunes versions before it. Errors are ignored: the new
// bundle is in force already, and the next acceptance tries to remove the same
// versions again.
func (d *BundleClient) prune(ctx context.Context, v bundle.Version) {
	ctx, stop := context.WithTimeout(ctx, pruneTimeout)
	defer stop()
	for i := range bundle.Version(1 + extraPrunes) {
		if v <= maxHistoryVersions+1+i {
			return
		}
		name := historyName(v - 1 - maxHistoryVersions - i)
		o, err := d.Store.Get(ctx, platform.KindHistory, name)
		if err != nil {
			continue
		}
		d.Store.Delete(ctx, platform.KindHistory, name, o.Meta.Revision)
	}
}

// replaceCurrent replaces the accepted bundle on the condition that it is still
// the one in h. If the condition fails, the caller reads it again and retries.
func (d *BundleClient) replaceCurrent(ctx context.Context, h currentObject, s bundle.Signed) error {
	var err error
	if h.Accepted == nil {
		_, err = d.Store.Create(ctx, platform.KindBundle, currentBundle, s)
	} else {
		_, err = d.Store.Update(ctx, platform.KindBundle, currentBundle, s, h.at)
	}
	return err
}

// History returns the bundle that was accepted as version v.
func (d *BundleClient) History(ctx context.Context, v bundle.Version) (*bundle.Accepted, error) {
	cur, err := d.Current(ctx)
	if err != nil {
		return nil, err
	}
	if cur != nil && cur.Version == v {
		return cur, nil
	}
	o, err := d.Store.Get(ctx, platform.KindHistory, historyName(v))
	if err != nil {
		return nil, eris.Wrapf(err, "version %d", v)
	}
	return d.verifyObject(o)
}
