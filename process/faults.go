package process

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// Faults collects what is wrong with settings, so that all is told at once.
type Faults struct{ lines []string }

// Want records a fault of the flag unless ok.
func (f *Faults) Want(ok bool, flag, text string) {
	if !ok {
		f.lines = append(f.lines, fmt.Sprintf("%s ($%s): %s", flag, Variable(flag), text))
	}
}

// Address records a fault unless a is an address with a host.
func (f *Faults) Address(flag string, a netip.AddrPort) {
	f.Want(a.IsValid() && !a.Addr().IsUnspecified(), flag, "must be IP:PORT with the IP that others reach")
}

// Err records the error as a fault of the flag unless it is nil.
func (f *Faults) Err(flag string, err error) {
	if err != nil {
		f.Want(false, flag, err.Error())
	}
}

// All returns the faults as one error, or nil.
func (f *Faults) All() error {
	if len(f.lines) == 0 {
		return nil
	}
	return eris.New("settings:\n  " + strings.Join(f.lines, "\n  "))
}

// Variable returns the environment variable of a flag.
func Variable(flag string) string {
	return "POMELOWAY_" + strings.ToUpper(strings.ReplaceAll(strings.TrimLeft(flag, "-"), "-", "_"))
}
