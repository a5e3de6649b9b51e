package boragewick

// TableEntryError adds to an error the entry of a routing table that it is about.
type TableEntryError struct {
	// Kind is "route", "pool" or "workspace", and Index the entry's position among those.
	Kind  string
	Index int
	// Field names the field; it is empty if there are several.
	Field string
	Err   error
}

// Error returns the text of the wrapped error.
func (e *TableEntryError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *TableEntryError) Unwrap() error { return e.Err }
