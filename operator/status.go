package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/platform"
	"pomeloway.example/pomeloway/process"
)

// MemberStatus is the status of one member. Reached is false if the member did not respond;
// Error then holds the reason.
type MemberStatus struct {
	Member  fleet.Member   `json:"member"`
	Reached bool           `json:"reached"`
	Ready   bool           `json:"ready"`
	Version bundle.Version `json:"version"`
	Error   string         `json:"error,omitempty"`
}

// StatusClient queries members for the version of the bundle that they have in force.
// HTTP may be nil.
type StatusClient struct {
	HTTP *http.Client
}

const (
	// maxConcurrentQueries bounds the number of concurrent calls.
	maxConcurrentQueries = 32
	// queryTimeout bounds one call to a member.
	queryTimeout = 2 * time.Second
)

// Members returns the members that are registered on the platform.
func Members(ctx context.Context, c *platform.Client) ([]fleet.Member, error) {
	l, err := c.List(ctx, platform.KindMember)
	if err != nil {
		return nil, err
	}
	var ms []fleet.Member
	for _, o := range l.Items {
		var m fleet.Member
		if json.Unmarshal(o.Spec, &m) == nil && m.Phase != fleet.PhaseLeft {
			ms = append(ms, m)
		}
	}
	return ms, nil
}

// MembersFrom returns the members known to one process, given by the address of its
// operator endpoints. It is used while the platform is down.
func (s *StatusClient) MembersFrom(ctx context.Context, operator string) ([]fleet.Member, error) {
	var v process.Status
	if err := s.get(ctx, "http://"+operator+"/state", &v); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(v.Members, func(m fleet.Member) bool { return m.Phase == fleet.PhaseLeft }), nil
}

// Query queries all members and returns the status of each, ordered by id.
func (s *StatusClient) Query(ctx context.Context, ms []fleet.Member) []MemberStatus {
	rows := make([]MemberStatus, len(ms))
	slots := make(chan struct{}, maxConcurrentQueries)
	var w sync.WaitGroup
	for i, m := range ms {
		slots <- struct{}{}
		w.Go(func() {
			rows[i] = s.queryMember(ctx, m)
			<-slots
		})
	}
	w.Wait()
	slices.SortFunc(rows, func(a, b MemberStatus) int { return strings.Compare(string(a.Member.ID), string(b.Member.ID)) })
	return rows
}

func (s *StatusClient) queryMember(ctx context.Context, m fleet.Member) MemberStatus {
	var v process.Version
	if err := s.get(ctx, "http://"+m.Operator+"/version", &v); err != nil {
		return MemberStatus{Member: m, Error: err.Error()}
	}
	return MemberStatus{Member: m, Reached: true, Ready: v.Ready, Version: v.Version}
}

func (s *StatusClient) get(ctx context.Context, url string, v any) error {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "status")
	}
	c := s.HTTP
	if c == nil {
		c = http.DefaultClient
	}
	a, err := c.Do(r)
	if err != nil {
		return eris.Wrap(err, "status")
	}
	defer a.Body.Close()
	return eris.Wrap(json.NewDecoder(a.Body).Decode(v), "status")
}

// Lagging returns the members that have a version below v in force, including
// those that were not reached: their version is 0.
func Lagging(rows []MemberStatus, v bundle.Version) []MemberStatus {
	var out []MemberStatus
	for _, r := range rows {
		if r.Version < v {
			out = append(out, r)
		}
	}
	return out
}

// NewestVersion returns the highest version that any of the members has in force.
func NewestVersion(rows []MemberStatus) bundle.Version {
	var v bundle.Version
	for _, r := range rows {
		v = max(v, r.Version)
	}
	return v
}
