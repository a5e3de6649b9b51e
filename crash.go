package boragewick

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// QuarantineTime is how long the first quarantine of a prompt part lasts. No later one
// is shorter.
const QuarantineTime = 10 * time.Minute

// CrashReport tells a control replica which runs of endpoints have ended under this
// router's requests, and which suspected prompt parts have been answered since.
type CrashReport struct {
	Instance string `cbor:"1,keyasint"`
	// Now is the sender's clock at the time of the report. The other instants are
	// by the same clock.
	Now     time.Time       `cbor:"2,keyasint"`
	Crashes []EndpointCrash `cbor:"3,keyasint,omitempty"`
	// Answered are the suspected parts of requests that were answered completely.
	Answered []uint64 `cbor:"4,keyasint,omitempty"`
}

// EndpointCrash is the end of one run of an endpoint with the prompt parts of the
// requests that were in progress there.
type EndpointCrash struct {
	Endpoint    string        `cbor:"1,keyasint"`
	Incarnation Incarnation   `cbor:"2,keyasint"`
	At          time.Time     `cbor:"3,keyasint"`
	Parts       []SuspectPart `cbor:"4,keyasint,omitempty"`
}

// SuspectPart is a prompt part, or a whole request, that was in use at an endpoint when it
// crashed.
type SuspectPart struct {
	// Key is the PartKey of the part.
	Key uint64 `cbor:"1,keyasint"`
	// SentAt is when the last request with the part was sent to the endpoint.
	SentAt time.Time `cbor:"2,keyasint"`
	// Model is the ModelKey of the requests. The model itself is reported like a part,
	// with that as its Key.
	Model uint64 `cbor:"4,keyasint,omitempty"`
	// Answered reports whether the router got a complete answer to a request with the
	// part shortly before the crash.
	Answered bool `cbor:"3,keyasint,omitempty"`
	// Whole reports whether this is a whole request, and Key its RequestKey.
	Whole bool `cbor:"5,keyasint,omitempty"`
	// Request identifies the last request with the part, by its RequestKey and its prompt;
	// zero if unknown.
	Request uint64 `cbor:"6,keyasint,omitempty"`
}

// Quarantine puts a prompt part or a whole request into quarantine, so that routers
// refuse requests with it, or lifts its quarantine.
type Quarantine struct {
	Part uint64 `cbor:"1,keyasint"`
	Lift bool   `cbor:"2,keyasint,omitempty"`
	// Forget reports whether a lifted quarantine was wrong, so that it doesn't count
	// against the part.
	Forget bool `cbor:"3,keyasint,omitempty"`
	// Whole reports whether Part is the RequestKey of a whole request.
	Whole bool `cbor:"4,keyasint,omitempty"`
}

// QuarantinedPart is a prompt part or a whole request that is or was in quarantine.
type QuarantinedPart struct {
	Part uint64 `cbor:"1,keyasint"`
	// Active reports whether the part is in quarantine now, and Count how often it
	// was put there.
	Active bool   `cbor:"2,keyasint,omitempty"`
	Count  uint64 `cbor:"3,keyasint"`
	// Whole reports whether Part is the RequestKey of a whole request.
	Whole bool `cbor:"4,keyasint,omitempty"`
}

// PartSet is a set of prompt parts and whole requests in a WatchUpdate.
type PartSet struct {
	Parts []uint64 `cbor:"1,keyasint,omitempty"`
	// Changed is that of the RegistryState from which the set comes; zero if it does
	// not come from one.
	Changed uint64 `cbor:"2,keyasint,omitempty"`
	// Ends are when the quarantines of the Parts end, in the same order, by the sender's
	// clock, whose current time is Now.
	Ends []time.Time `cbor:"3,keyasint,omitempty"`
	Now  time.Time   `cbor:"4,keyasint,omitzero"`
}

// MethodCrashes is the link method by which routers send CrashReports.
const MethodCrashes = "crashes"

// PartKey returns the key of a prompt part in requests for the model. Unlike
// CachedPartKey it does not depend on the workspace or the weights.
func PartKey(model, part string) uint64 {
	return xxh3.HashString(model + "\x00" + part)
}

// ModelKey returns the key of a model as a part of all its requests. It differs from
// the keys of prompt parts, whose IDs hold no NUL.
func ModelKey(model string) uint64 { return PartKey(model, "\x00") }

// PoolKey returns the key of a pool of plain endpoints, which stands for the model of
// their requests.
func PoolKey(pool string) uint64 { return PartKey(pool, "\x00\x00") }

// RequestKey returns the key of a whole request. It is the same for requests of one
// caller that ask for the same thing, whatever their IDs.
func RequestKey(method, host, uri, caller string, body []byte) uint64 {
	h := xxh3.New()
	for _, field := range []string{method, host, uri, caller} {
		_, _ = h.WriteString(strconv.Itoa(len(field)))
		_, _ = h.WriteString(":" + field)
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// VariantKey returns the key of a whole request with its prompt, as requests that are
// otherwise the same may differ in the parts that they name.
func VariantKey(request uint64, prefix []PromptPart) uint64 {
	h := xxh3.New()
	for _, part := range prefix {
		_, _ = h.WriteString(part.ID + ",")
	}
	_, _ = h.WriteString(strconv.FormatUint(request, 16))
	return h.Sum64()
}

// SharedPartKeys returns the keys of the parts of a prompt that other requests may
// share: all but the last one.
func SharedPartKeys(model string, prefix []PromptPart) []uint64 {
	if len(prefix) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(prefix)-1)
	for _, part := range prefix[:len(prefix)-1] {
		keys = append(keys, PartKey(model, part.ID))
	}
	return keys
}
