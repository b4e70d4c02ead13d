package demo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pomeloway.example/pomeloway/guard"
	"pomeloway.example/pomeloway/settings"
)

// Options holds the settings of a demo.
type Options struct {
	Deployment string        `help:"Site to run: agency or saltbush." default:"agency" env:"POMELOWAY_DEPLOYMENT" group:"Run"`
	Duration   time.Duration `help:"Length of the run." default:"60s" env:"POMELOWAY_DURATION" group:"Run"`
	Seed       uint64        `help:"Seed of the callers' choices." default:"1" env:"POMELOWAY_SEED" group:"Run"`
	Callers    int           `help:"Number of callers." default:"100" env:"POMELOWAY_CALLERS" group:"Run"`
	Report     string        `help:"File for the JSON report, - for standard output." placeholder:"FILE" env:"POMELOWAY_REPORT" group:"Output"`
	Sabotage   guard.Name    `help:"Guard to switch off, to check that the report shows its absence: drain, journal, slots, token or zone." placeholder:"NAME" env:"POMELOWAY_SABOTAGE" group:"Run"`
	Log        string        `help:"File for the log lines of all processes." placeholder:"FILE" env:"POMELOWAY_LOG" group:"Output"`
}

// Limits of the settings.
const (
	minDuration = 10 * time.Second
	maxCallers  = 5000
)

// sabotageGuards are the guards that --sabotage accepts. The report of a run of the
// default length shows the absence of each of these; for the other guards, tests
// of single packages show it.
var sabotageGuards = []guard.Name{guard.Drain, guard.Journal, guard.Slots, guard.Token, guard.Zone}

// Validate returns all invalid settings as one error.
func (o *Options) Validate() error {
	var f settings.Errors
	_, ok := Deployments[o.Deployment]
	f.Require(ok, "--deployment", "must be one of "+strings.Join(slices.Sorted(maps.Keys(Deployments)), ", "))
	f.Require(o.Duration >= minDuration, "--duration", fmt.Sprintf("must be at least %v", minDuration))
	f.Require(o.Callers > 0 && o.Callers <= maxCallers, "--callers", fmt.Sprintf("must be 1 to %d", maxCallers))
	f.Require(o.Sabotage == "" || slices.Contains(sabotageGuards, o.Sabotage), "--sabotage", fmt.Sprintf("must be one of %v", sabotageGuards))
	return f.ErrOrNil()
}
