// Package settings collects the errors in the settings of a program.
package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// Errors collects the errors in settings, so that all are reported at once. As an
// error it lists each of them with its flag and environment variable.
type Errors []string

// Error returns one line for each error.
func (f Errors) Error() string { return "settings:\n  " + strings.Join(f, "\n  ") }

// Require records the text as an error of the flag unless ok is set.
func (f *Errors) Require(ok bool, flag, text string) {
	f.RequireVariable(ok, flag, Variable(flag), text)
}

// RequireVariable is like Require for a flag whose environment variable is not named after it.
func (f *Errors) RequireVariable(ok bool, flag, variable, text string) {
	if !ok {
		*f = append(*f, fmt.Sprintf("%s ($%s): %s", flag, variable, text))
	}
}

// RequireAddress records an error of the flag unless a is an IPv4 address to which other
// processes can connect; 0.0.0.0 is not.
func (f *Errors) RequireAddress(flag string, a netip.AddrPort) {
	f.Require(a.IsValid() && a.Addr().Is4() && !a.Addr().IsUnspecified(), flag, "must be IP:PORT with an IPv4 address that other processes can reach")
}

// AddError records err as an error of the flag unless it is nil.
func (f *Errors) AddError(flag string, err error) {
	if err != nil {
		f.Require(false, flag, err.Error())
	}
}

// Join adds the errors that another part of the settings collected with this
// package. It ignores other errors.
func (f *Errors) Join(err error) {
	if o, ok := err.(Errors); ok {
		*f = append(*f, o...)
	}
}

// ErrOrNil returns f as an error, or nil if there are none.
func (f Errors) ErrOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Variable returns the name of the environment variable of a flag.
func Variable(flag string) string {
	return "POMELOWAY_" + strings.ToUpper(strings.ReplaceAll(strings.TrimLeft(flag, "-"), "-", "_"))
}
