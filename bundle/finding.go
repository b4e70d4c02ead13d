package bundle

import (
	"fmt"
	"strings"
)

// Finding is an error in a bundle and its position.
type Finding struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Text   string `json:"text"`
}

// String returns the finding as file:line:column: path: text.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Text)
}

// Findings holds all errors in one bundle. As an error it lists every one.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	var b strings.Builder
	for n, x := range f {
		if n > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(x.String())
	}
	return b.String()
}

// InFile sets the file name of the findings and returns them.
func (f Findings) InFile(name string) Findings {
	for n := range f {
		f[n].File = name
	}
	return f
}
