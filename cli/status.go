package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/fleet"
	"pomeloway.example/pomeloway/operator"
	"pomeloway.example/pomeloway/platform"
)

const statusPollInterval = 250 * time.Millisecond

// runStatus prints the status of all members. With --wait it first waits until
// the newest version is in force in all of them.
func runStatus(ctx context.Context, o StatusOptions, s streams) error {
	if o.Platform == "" && !o.From.IsValid() {
		return eris.New("status: either --platform ($POMELOWAY_PLATFORM) or --from is required")
	}
	ctx, stop := context.WithTimeout(ctx, o.Timeout)
	defer stop()
	for {
		rows, want, err := queryMembers(ctx, o)
		if err != nil {
			return err
		}
		lagging := operator.Lagging(rows, want)
		if !o.Wait || len(lagging) == 0 {
			return printStatus(rows, o.JSON, s)
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			printStatus(rows, o.JSON, s)
			return eris.Errorf("version %d is not yet in force in: %s", want, memberIDs(lagging))
		}
	}
}

// memberIDs returns the IDs of the members, separated by commas.
func memberIDs(rows []operator.MemberStatus) string {
	var n []string
	for _, r := range rows {
		n = append(n, string(r.Member.ID))
	}
	return strings.Join(n, ", ")
}

// queryMembers queries all members once. It returns their status and the newest
// known version, which every member should have in force.
func queryMembers(ctx context.Context, o StatusOptions) ([]operator.MemberStatus, bundle.Version, error) {
	var v operator.StatusClient
	c := &platform.Client{URL: o.Platform, Token: o.Token}
	var ms []fleet.Member
	var err error
	if o.From.IsValid() {
		ms, err = v.MembersFrom(ctx, o.From.String())
	} else {
		ms, err = operator.Members(ctx, c)
	}
	if err != nil {
		return nil, 0, err
	}
	rows := v.Query(ctx, ms)
	return rows, max(operator.NewestVersion(rows), storedVersion(ctx, c, o)), nil
}

// storedVersion returns the version of the bundle on the platform, without checking
// its signature. It returns 0 if the bundle cannot be read, or if --from is given,
// because the command then does not use the platform.
func storedVersion(ctx context.Context, c *platform.Client, o StatusOptions) bundle.Version {
	if o.From.IsValid() {
		return 0
	}
	x, err := c.Get(ctx, platform.KindBundle, "current")
	if err != nil {
		return 0
	}
	b, err := bundle.DecodeSigned(x.Spec)
	if err != nil {
		return 0
	}
	return b.ClaimedVersion()
}

func printStatus(rows []operator.MemberStatus, asJSON bool, s streams) error {
	if asJSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(rows)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tZONE\tPHASE\tVERSION\tREADY\tERROR")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%t\t%s\n", r.Member.ID, r.Member.Zone, r.Member.Phase, r.Version, r.Ready, firstLine(r.Error))
	}
	return w.Flush()
}

func firstLine(s string) string {
	l, _, _ := strings.Cut(s, "\n")
	return l
}
