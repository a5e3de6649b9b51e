// Package tablecheck examines a routing table before it is published: what makes it
// invalid, which of its entries have no effect, which of its limits contradict each
// other, and what it changes.
package tablecheck

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// The severities of findings.
const (
	// Error marks what makes a table invalid.
	Error = "error"
	// Warning marks what is likely not intended.
	Warning = "warning"
	// Note marks what may be intended and is easily overlooked.
	Note = "note"
	// Change marks a difference from another table.
	Change = "change"
)

// Finding is one result of an examination.
type Finding struct {
	// Severity is Error, Warning, Note or Change.
	Severity string
	// Where names the entry of the table; it is empty for the whole table.
	Where string
	What  string
	// Kind and Index are the entry's kind ("route", "pool", "workspace" or "limits") and its
	// position among those; Kind is empty if they aren't known. Field names the field of the
	// entry; it is empty if there are several.
	Kind  string
	Index int
	Field string
}

// maxFindings bounds the findings about one table, which may have millions of entries.
const maxFindings = 10_000

// Check returns the findings about the table, up to a bound. There are Errors if and only if the table's own Check fails.
func Check(t *boragewick.RoutingTable) []Finding {
	e := &examination{table: t, pools: map[string]*boragewick.PoolRule{}, used: map[string]bool{}}
	for err := range t.Contradictions() {
		if e.omitted {
			break
		}
		e.addError(err)
	}
	e.checkPools()
	e.checkRoutes()
	e.checkWorkspaces()
	e.checkUse()
	e.checkLimits()
	list := e.all()
	locate(t, list)
	return list
}

// addError adds an error of the table.
func (e *examination) addError(err error) {
	f := Finding{Severity: Error, What: strings.TrimSuffix(err.Error(), ": "+boragewick.ErrBadTable.Error())}
	var at *boragewick.TableEntryError
	if errors.As(err, &at) {
		f.Kind, f.Index, f.Field = at.Kind, at.Index, at.Field
	}
	e.append(f)
}

// findings collects findings up to a bound.
type findings struct {
	list []Finding
	// omitted reports whether there were more.
	omitted bool
}

func (f *findings) add(severity, where, what string) { f.addField(severity, where, "", what) }

// addField adds a finding about one field of an entry.
func (f *findings) addField(severity, where, name, what string) {
	f.append(Finding{Severity: severity, Where: where, Field: name, What: what})
}

func (f *findings) append(finding Finding) {
	if len(f.list) >= maxFindings {
		f.omitted = true
		return
	}
	f.list = append(f.list, finding)
}

// all returns the findings, with one more that says so if some were omitted.
func (f *findings) all() []Finding {
	if f.omitted {
		return append(f.list, Finding{Severity: Warning, What: "there are more findings, which are not listed"})
	}
	return f.list
}

// examination examines one table.
type examination struct {
	findings
	table *boragewick.RoutingTable
	// pools holds the pools by name; of several with one name the last is in force.
	pools map[string]*boragewick.PoolRule
	// used holds the names of the pools to which a route sends requests.
	used map[string]bool
}

func (e *examination) warn(where, what string) { e.add(Warning, where, what) }

// names numbers entries of one kind whose name occurs more than once, so that each
// can be told from the others.
type names map[string]int

// next returns how the next entry with the name is called.
func (n names) next(kind, name string) string {
	n[name]++
	if i := n[name]; i > 1 {
		return kind + " " + name + " (number " + strconv.Itoa(i) + " of this name)"
	}
	return kind + " " + name
}

const (
	// maxKeyShown is the number of bytes of a key that are shown.
	maxKeyShown = 4
	// keyShownShare is the share of a key that stays hidden at least, as a divisor:
	// of a short key fewer bytes are shown.
	keyShownShare = 4
)

// shorten returns the first characters of a key, which is a secret.
func shorten(key string) string {
	n := min(maxKeyShown, len(key)/keyShownShare)
	for n > 0 && !utf8.RuneStart(key[n]) {
		n--
	}
	return key[:n] + "…"
}
