package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// otherWriter sends calls to the control processes that no endpoint and no operator of
// the deployment sends: with ids that can't be read, fields missing or of another type,
// broken documents. None of them may have an effect.
type otherWriter struct {
	*fleet
	rng    *rand.Rand
	dialer net.Dialer
	// number is that of the writer, and sent how many calls it has sent.
	number, sent int
}

const (
	otherWriters     = 2
	otherWriterPause = 30 * time.Millisecond
	// phantomHost is the host at whose address only other writers say that an endpoint
	// serves.
	phantomHost = 250
)

// undecodableIDs are path segments that aren't UTF-8.
var undecodableIDs = []string{"i-%ff", "i-47%ff%fe", "%c3%28", "%f0%9f%98"}

// oddIDs are other path segments that name no endpoint.
var oddIDs = []string{
	"i-%00", "i-1%0a", "i-1%0d%0aX-Other:%201", "%20", "i%201", "%09", "i-%7f", "%2e%2e%2f", "a%2fb",
	"%EF%BF%BD", "i-%F0%9F%98%80", strings.Repeat("x", 3000), strings.Repeat("%C3%A9", 3000),
}

// oddValues are JSON texts that no field of a heartbeat has; for strings only if they can't
// be taken for another value.
var oddValues = []string{`null`, `true`, `[]`, `{}`, `[[[[[]]]]]`, `1.5`, `-1`, `1e400`, `-9223372036854775808`, `""`, `"\u0000"`, `"a\nb"`, "\"\xff\""}

// oddAddresses are texts of addresses at which no endpoint can be reached.
var oddAddresses = []string{
	"::1:8169", "127.0.0.1:65536", "127.0.0.1", "host:80", ":80", "", "[::]:80", "0.0.0.0:80", "127.0.0.1:0", "[fe80::1%eth0]:80",
	"224.0.0.1:80", "255.255.255.255:80", "127.0.0.1:-1", "127.0.0.1:080x", "[::1]8169", "\n127.0.0.1:80",
}

// startPhantom listens where only other writers say that an endpoint serves.
func (f *fleet) startPhantom() {
	l, err := net.Listen("tcp4", f.phantom().String())
	f.must(err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.addViolation("ROUTE", "%s was sent to an address that only another writer has named, for %q",
			r.URL.Path, r.Header.Get("X-Boragewick-Expect-Instance"))
		w.WriteHeader(http.StatusMisdirectedRequest)
	})}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
}

func (f *fleet) phantom() netip.AddrPort {
	return netip.AddrPortFrom(f.advertised(phantomHost), enginePort)
}

// otherCalls are the kinds of calls of other writers.
var otherCalls = map[string]func(w *otherWriter){
	"bytes": func(w *otherWriter) { w.register(w.pick(undecodableIDs), w.heartbeat(nil)) },
	"id":    func(w *otherWriter) { w.register(w.pick(oddIDs), w.heartbeat(nil)) },
	"field": (*otherWriter).registerOddFields,
	"departure": func(w *otherWriter) {
		w.call(http.MethodDelete, "/instances/"+w.pick(slices.Concat(undecodableIDs, oddIDs)), "")
	},
	"configuration": (*otherWriter).publishInvalid,
	"weights":       (*otherWriter).nameInvalidWeights,
	"garbage":       (*otherWriter).sendGarbage,
}

// run sends calls until ctx is done.
func (w *otherWriter) run(ctx context.Context) {
	kinds := slices.Sorted(maps.Keys(otherCalls))
	if *otherKinds != "" {
		kinds = strings.Split(*otherKinds, ",")
	}
	for ; ctx.Err() == nil; w.sent++ {
		otherCalls[kinds[w.rng.IntN(len(kinds))]](w)
		time.Sleep(randomDuration(w.rng, 0, 2*otherWriterPause))
	}
}

func (w *otherWriter) pick(list []string) string { return list[w.rng.IntN(len(list))] }

// heartbeat returns a heartbeat of an endpoint at the phantom address, in which some fields
// are replaced by JSON texts. An empty text removes its field.
func (w *otherWriter) heartbeat(replaced map[string]string) string {
	pool, state := modelPool, "ready"
	if w.rng.IntN(2) == 0 {
		pool = plainPool
	}
	if w.rng.IntN(3) == 0 {
		state = "draining"
	}
	fields := map[string]string{
		"service": fmt.Sprintf("%q", pool), "address": fmt.Sprintf("%q", w.phantom()), "zone": `"z0"`, "version": `"v1"`, "slots": "16",
		"state": fmt.Sprintf("%q", state), "coldRemainingMs": "0", "models": "[]", "seq": fmt.Sprint(1 + w.rng.IntN(1000)),
		"born": fmt.Sprint(time.Now().UnixMilli()),
	}
	maps.Copy(fields, replaced)
	var list []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if fields[name] != "" {
			list = append(list, fmt.Sprintf("%q:%s", name, fields[name]))
		}
	}
	return "{" + strings.Join(list, ",") + "}"
}

// registerOddFields sends a heartbeat with an odd field, under an id of its own or that of
// an endpoint.
func (w *otherWriter) registerOddFields() {
	id := fmt.Sprintf("other-%d-%d", w.number, w.sent)
	if w.rng.IntN(2) == 0 {
		e := w.randomEngine(w.rng)
		e.mu.Lock()
		id = e.id
		e.mu.Unlock()
	}
	required := []string{"service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "seq"}
	body := ""
	switch w.rng.IntN(5) {
	case 0:
		body = w.heartbeat(map[string]string{required[w.rng.IntN(len(required))]: ""})
	case 1:
		name := required[w.rng.IntN(len(required))]
		value := oddValues[w.rng.IntN(len(oddValues))]
		for name == "version" && strings.HasPrefix(value, `"`) || name == "coldRemainingMs" && value == "1.5" {
			value = oddValues[w.rng.IntN(len(oddValues))]
		}
		body = w.heartbeat(map[string]string{name: value})
	case 2:
		body = w.heartbeat(map[string]string{"address": fmt.Sprintf("%q", oddAddresses[w.rng.IntN(len(oddAddresses))])})
	case 3:
		body = w.heartbeat(map[string]string{
			"state": []string{`"asleep"`, `"READY"`, `"ready "`}[w.rng.IntN(3)], "service": fmt.Sprintf("%q", []string{modelPool, "nobody", ""}[w.rng.IntN(3)]),
		})
	case 4:
		body = w.heartbeat(nil)
		body = []string{body[:w.rng.IntN(len(body))], body + body, body + "]", "\xff" + body, strings.Repeat("[", 20000), strings.Repeat(" ", 70<<10) + body}[w.rng.IntN(6)]
	}
	w.register(id, body)
}

// register sends a heartbeat, which must not be acknowledged.
func (w *otherWriter) register(id, body string) {
	if status, _ := w.call(http.MethodPut, "/instances/"+id, body); status == http.StatusOK {
		w.addViolation("UNREADABLE", "the heartbeat %.200q of %.60q is acknowledged", body, id)
	}
}

// publishInvalid sends a document that is no configuration.
func (w *otherWriter) publishInvalid() {
	doc := w.configDocument(1<<40, 0)
	cut := func(old, replacement string) string { return strings.Replace(doc, old, replacement, 1) }
	version := fmt.Sprintf(`"version":%d`, 1<<40)
	list := map[string]string{
		"cut short":       doc[:w.rng.IntN(len(doc)-1)],
		"twice":           doc + doc,
		"no version":      cut(version, `"other":1`),
		"version 0":       cut(version, `"version":0`),
		"text as version": cut(version, `"version":"7"`),
		"half a version":  cut(version, `"version":7.5`),
		"no number":       cut(version, `"version":1e400`),
		"unknown service": cut(`"service":"`+modelPool+`"`, `"service":"nobody"`),
		"no timeout":      cut(`"timeoutMs":1000`, `"timeoutMs":0`),
		"nested":          strings.Repeat("[", 50000),
		"bytes":           cut(`"name":"open"`, "\"name\":\"op\xffen\""),
		"a line break":    cut(`"name":"open"`, `"name":"op\nen"`),
		"empty":           "",
	}
	names := slices.Sorted(maps.Keys(list))
	name := names[w.rng.IntN(len(names))]
	if status, _ := w.call(http.MethodPut, "/config", list[name]); status == http.StatusOK {
		w.addViolation("CONFIG", "an invalid configuration (%s) is acknowledged", name)
	}
}

// nameInvalidWeights sends a call that names no weights.
func (w *otherWriter) nameInvalidWeights() {
	list := []string{
		``, `{}`, `{"model":"m"}`, `{"model":"m","version":0}`, `{"model":"m","version":-1}`, `{"model":"m","version":1.5}`, `{"model":"m","version":"9"}`,
		`{"model":"m","version":1e30}`, `{"model":"","version":9}`, `{"model":["m"],"version":9}`, `{"model":"m","version":9}}`, "{\"model\":\"\xff\",\"version\":9}",
		`{"model":"a\nb","version":9}`, `{"model":"` + strings.Repeat("m", 4000) + `","version":9}`,
	}
	body := list[w.rng.IntN(len(list))]
	if status, _ := w.call(http.MethodPost, "/version-put", body); status == http.StatusOK {
		w.addViolation("VERSION", "%.80q is acknowledged", body)
	}
}

// sendGarbage sends bytes that are no call, to a port for operators or for links.
func (w *otherWriter) sendGarbage() {
	addr := w.operatorAddrs()[w.rng.IntN(w.size.controls)]
	if w.rng.IntN(2) == 0 {
		addr = netip.AddrPortFrom(addr.Addr(), controlPort)
	}
	conn, err := w.dialer.Dial("tcp4", addr.String())
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	b := make([]byte, 1+w.rng.IntN(4000))
	for i := range b {
		b[i] = byte(w.rng.Uint32())
	}
	_, _ = conn.Write(b)
}

// call sends a request to a random control process and returns the status and the body of
// the answer. The path is sent as it is.
func (w *otherWriter) call(method, path, body string) (int, string) {
	w.count("calls of other writers")
	list := w.operatorAddrs()
	status, answer := roundTrip(&w.dialer, method, list[w.rng.IntN(len(list))], path, body)
	if status > 0 && answer != "" && !json.Valid([]byte(answer)) && status != http.StatusNotFound {
		w.addViolation("CONFIG", "%s %.60q is answered %d with %.60q", method, path, status, answer)
	}
	return status, answer
}
