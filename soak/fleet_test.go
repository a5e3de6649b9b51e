package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	controlPort  = 7600 // of links between replicas
	agentPort    = 7601
	operatorPort = 7620
	callerPort   = 7621
	readyPort    = 7622
	enginePort   = 7623
)

// size is the number of hosts of each kind.
type size struct{ controls, routers, models, desks, stores int }

// fleet is a deployment of separate processes, with endpoints in the test's own.
type fleet struct {
	*book
	*network
	t       *testing.T
	rng     *rand.Rand
	binary  string
	dir     string
	block   [2]byte
	size    size
	procs   []*proc
	engines []*engine
	handles sync.Map // of moved memory, to the request's ID
}

// proc is one process and its restarts.
type proc struct {
	*fleet
	name  string
	host  int
	role  string // router, control or agent
	first bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// ending tells that the test has ended the process.
	ending bool
	frozen bool
	gone   chan struct{}
	since  time.Time
}

// newFleet starts the deployment.
func newFleet(t *testing.T, binary string, rng *rand.Rand, block [2]byte, s size) *fleet {
	f := &fleet{book: newBook(), network: newNetwork(), t: t, rng: rng, binary: binary, dir: t.TempDir(), block: block, size: s}
	t.Cleanup(f.stopAll)
	hosts := s.controls + s.routers
	for i := range hosts {
		ports := []uint16{}
		if i < s.controls {
			ports = append(ports, controlPort, operatorPort)
			f.procs = append(f.procs, &proc{fleet: f, name: fmt.Sprint("control-", i), host: i, role: "control", first: true})
		}
		f.procs = append(f.procs, &proc{fleet: f, name: fmt.Sprint("router-", i), host: i, role: "router", first: true})
		f.must(f.forward(f.advertised(i), f.local(i), ports...))
	}
	for i := range s.models + s.desks + s.stores {
		e := &engine{fleet: f, pool: modelPool, number: i, advertised: netip.AddrPortFrom(f.advertised(hosts+i), enginePort), local: f.local(hosts + i)}
		e.rng = rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		e.dialer.LocalAddr = tcpAddr(e.local)
		e.dialer.Timeout = time.Second
		switch {
		case i >= s.models+s.desks:
			e.pool = storePool
		case i >= s.models:
			e.pool = deskPool
		default:
			f.procs = append(f.procs, &proc{fleet: f, name: fmt.Sprint("agent-", hosts+i), host: hosts + i, role: "agent", first: true})
		}
		f.must(f.forward(f.advertised(hosts+i), f.local(hosts+i), enginePort, agentPort))
		f.engines = append(f.engines, e)
		e.up(false)
	}
	for _, i := range rng.Perm(len(f.procs)) {
		f.procs[i].start()
	}
	return f
}

func (f *fleet) must(err error) {
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) advertised(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.block[0], f.block[1], byte(i + 1)})
}

func (f *fleet) local(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.block[0], f.block[1] + 1, byte(i + 1)})
}

// controls returns the operators' addresses.
func (f *fleet) controls() (list []netip.AddrPort) {
	for i := range f.size.controls {
		list = append(list, netip.AddrPortFrom(f.advertised(i), operatorPort))
	}
	return list
}

func (f *fleet) engineAt(addr string) *engine {
	for _, e := range f.engines {
		if e.advertised.String() == addr {
			return e
		}
	}
	return nil
}

func (f *fleet) stopAll() {
	for _, p := range f.procs {
		p.kill()
	}
	for _, e := range f.engines {
		e.down()
	}
	f.disconnect()
}

func (p *proc) data() string { return filepath.Join(p.dir, p.name) }
func (p *proc) log() string  { return filepath.Join(p.dir, p.name+".log") }

// settings returns the text of the process's settings file.
func (p *proc) settings() string {
	serves := map[string]string{"router": "edge", "control": "control_plane", "agent": "side"}[p.role]
	ip := p.advertised(p.host)
	var seeds []string
	for _, c := range p.controls()[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", c))
	}
	data := ""
	if p.role == "control" {
		data = p.data()
	}
	return fmt.Sprintf(`nodeName: %q
role: %q
serves: [%q]
ip: %q
zone: "z%d"
listen: {front: "%s:%d", readiness: "%s:%d", control: "%s:%d"}
portRange: [%d, %d]
seeds: [%s]
firstStart: %t
limits: {memoryMb: 200}
dataDir: %q
heartbeatMs: %d
tolerate: {machines: %d, zones: 0, regions: 0}
app: "%s:%d"
bounds: {contactMs: %d, graceS: %g, leaseMs: 1500, retryBudgetRatio: %g, retryBudgetSlack: %d, quotaSlack: %d, versionMs: %d}
`, p.name, p.role, serves, ip, p.host%3, ip, callerPort, ip, readyPort, ip, operatorPort, controlPort, controlPort+15,
		strings.Join(seeds, ", "), p.first, data, heartbeat.Milliseconds(), (p.size.controls-1)/2, ip, enginePort,
		contact.Milliseconds(), grace.Seconds(), retryFraction, retryBurst, slackOfRates, weightsWithin.Milliseconds())
}

// start starts the process unless it runs.
func (p *proc) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	file := filepath.Join(p.dir, p.name+".yaml")
	p.must(os.WriteFile(file, []byte(p.settings()), 0o600))
	out, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.must(err)
	defer out.Close()
	cmd := exec.Command(p.binary, "hosted", "-c", file, "--bind", p.local(p.host).String())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.must(cmd.Start())
	p.cmd, p.ending, p.frozen, p.since, p.gone = cmd, false, false, time.Now(), make(chan struct{})
	p.first = false
	go p.wait(cmd, p.gone)
}

// wait sees the process end.
func (p *proc) wait(cmd *exec.Cmd, gone chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		p.wrong("ENDS", "%s ends by itself: %v\n%s", p.name, err, p.tail())
	}
	p.cmd = nil
	close(gone)
}

// tail returns the last lines that the process has written.
func (p *proc) tail() string {
	b, err := os.ReadFile(p.log())
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-2000):])
}

// signal sends a signal to the process, if it runs.
func (p *proc) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.ending = true
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
	return p.cmd.Process.Signal(s) == nil
}

func (p *proc) kill() {
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL) {
		<-gone
	}
}

// terminate asks the process to end, which it must within its grace.
func (p *proc) terminate() {
	p.mu.Lock()
	cmd, gone, frozen := p.cmd, p.gone, p.frozen
	p.mu.Unlock()
	if frozen || !p.signal(syscall.SIGTERM) {
		return
	}
	sent := time.Now()
	select {
	case <-gone:
		if code := cmd.ProcessState.ExitCode(); code != 0 && cmd.ProcessState.Exited() {
			p.wrong("DRAIN", "%s ends with status %d after SIGTERM\n%s", p.name, code, p.tail())
		}
	case <-time.After(grace):
		p.mu.Lock()
		held := p.frozen || time.Since(sent) > grace+time.Second
		p.mu.Unlock()
		if !held {
			p.wrong("DRAIN", "%s still runs %s after SIGTERM", p.name, grace)
		}
		p.kill()
	}
}

// tear leaves the remains of a write that was not finished at the end of the
// newest file of the log.
func (p *proc) tear(rng *rand.Rand) {
	files, err := filepath.Glob(filepath.Join(p.data(), "*.log"))
	p.must(err)
	newest, at := "", time.Time{}
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(at) {
			newest, at = file, info.ModTime()
		}
	}
	if newest == "" {
		return
	}
	junk := make([]byte, 1+rng.IntN(300))
	for i := range junk {
		junk[i] = byte(rng.Uint32())
	}
	out, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	p.must(err)
	defer out.Close()
	_, err = out.Write(junk)
	p.must(err)
	p.count("torn writes")
}

// build builds the program once.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "boragewick")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "../cmd/boragewick")
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out.String())
	}
	return binary, nil
})
