package boragewick

// Revision orders configurations. At a receiver it only increases.
type Revision struct {
	// Term is the consensus term in which the configuration was committed.
	Term uint64 `cbor:"term" json:"term"`
	// Index is the position in the replicated log.
	Index uint64 `cbor:"index" json:"index"`
}

// Less reports whether r is older than other.
func (r Revision) Less(other Revision) bool {
	return r.Index < other.Index
}
