package process

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// relayBytes is the size of one response in BenchmarkRelay.
	relayBytes = 4 << 20
	// relayCallers is the number of concurrent callers.
	relayCallers = 8
)

// blobHandler answers every request with relayBytes zero bytes.
var blobHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	part := make([]byte, 32<<10)
	for n := 0; n < relayBytes; n += len(part) {
		_, _ = w.Write(part)
	}
})

// plainProxy is a proxy that uses only net/http, as the baseline.
func plainProxy(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: relayCallers}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		in, err := client.Do(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer in.Body.Close()
		w.WriteHeader(in.StatusCode)
		_, _ = io.Copy(w, in.Body)
	})
}

// fetch reads a whole response and returns the time until its header arrived.
func fetch(tb testing.TB, client *http.Client, url, key, body string) time.Duration {
	start := time.Now()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		tb.Error(err)
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+key)
	w, err := client.Do(r)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer w.Body.Close()
	first := time.Since(start)
	n, err := io.Copy(io.Discard, w.Body)
	if err != nil || w.StatusCode != http.StatusOK {
		tb.Errorf("status %d after %d bytes: %v", w.StatusCode, n, err)
	}
	return first
}

// BenchmarkRelay measures the throughput through router and agent and through a
// plain net/http proxy, with the same number of callers.
func BenchmarkRelay(b *testing.B) {
	f := newFleet(b, 1)
	f.endpoint("blob-0", boragewick.EndpointPlain, blobHandler)
	f.instances["blob-0"].stop()
	s := f.instances["blob-0"].settings
	s.Agent.Pool = "blob"
	f.instances["blob-0"].settings = s
	f.instances["blob-0"].start()
	f.apply(f.routers[0], "[route /blob]\nprefix = /blob\npool = blob\nrepeatable = true\n")
	direct := httptest.NewServer(blobHandler)
	defer direct.Close()
	baseline := httptest.NewServer(plainProxy(direct.URL))
	defer baseline.Close()
	f.await("the route works", func() bool { return f.routers[0].post("/blob/x", f.key, "", "").status == http.StatusOK })
	for _, target := range []struct{ name, url string }{
		{"boragewick", f.routers[0].caller + "/blob/x"},
		{"plain-proxy", baseline.URL + "/blob/x"},
	} {
		b.Run(target.name, func(b *testing.B) {
			b.SetBytes(relayCallers * relayBytes)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: relayCallers}}
			before := processCPUTime(b)
			for b.Loop() {
				var wg sync.WaitGroup
				for range relayCallers {
					wg.Go(func() { fetch(b, client, target.url, f.key, "") })
				}
				wg.Wait()
			}
			used := (processCPUTime(b) - before).Seconds()
			b.ReportMetric(float64(b.N)*relayCallers*relayBytes/used/1e6, "MB/core-s")
		})
	}
}

// processCPUTime returns the processor time that this program has used.
func processCPUTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFirstByte measures the time to the first byte through router and agent
// and directly from the service, one request at a time.
func BenchmarkFirstByte(b *testing.B) {
	f := newFleet(b, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	direct := &httptest.Server{Listener: l, Config: &http.Server{Handler: &f.ledger}}
	direct.Start()
	defer direct.Close()
	f.apply(f.routers[0], "[route /quick]\nprefix = /quick\npool = ledger\nrepeatable = true\n")
	f.await("the route works", func() bool { return f.routers[0].post("/quick/x", f.key, "", "").status == http.StatusOK })
	for _, target := range []struct{ name, url string }{
		{"boragewick", f.routers[0].caller + "/quick/x"},
		{"direct", direct.URL + "/quick/x"},
	} {
		b.Run(target.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			var list []time.Duration
			for b.Loop() {
				list = append(list, fetch(b, client, target.url, f.key, "x"))
			}
			slices.Sort(list)
			b.ReportMetric(float64(list[len(list)/2].Microseconds()), "first-byte-p50-us")
			b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), "first-byte-p99-us")
		})
	}
}
