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
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	controlPort  = 7600 // for links between replicas
	agentPort    = 7601
	operatorPort = 7620
	callerPort   = 7621
	readyPort    = 7622
	enginePort   = 7623
)

// fleetSize is the number of hosts of each kind.
type fleetSize struct{ controls, routers, models, plain, stores int }

// fleet is a deployment of separate processes. Its endpoints run in the test's own
// process.
type fleet struct {
	*recorder
	*network
	t       *testing.T
	rng     *rand.Rand
	binary  string
	dir     string
	subnet  [2]byte
	size    fleetSize
	procs   []*proc
	engines []*engine
	handles sync.Map // name of a copy of a run -> *kvCopy
	copies  sync.Map // heldCopy of runs in progress -> true
	// extraRoutes is the number of routes beside those that callers use.
	extraRoutes atomic.Int64
	// weightsFaults counts the faults in force that change weights in quick succession.
	weightsFaults atomic.Int64
	naming        sync.Mutex
}

// proc is a process of the deployment, across restarts.
type proc struct {
	*fleet
	name       string
	host       int
	role       string // router, control or agent
	firstStart bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopping is set once the test has sent SIGKILL or SIGTERM.
	stopping  bool
	frozen    bool
	exited    chan struct{}
	startedAt time.Time
	// endDisturbance ends the disturbance by a signal.
	endDisturbance func()
}

// newFleet starts the deployment.
func newFleet(t *testing.T, binary string, rng *rand.Rand, subnet [2]byte, s fleetSize) *fleet {
	f := &fleet{recorder: newRecorder(), network: newNetwork(), t: t, rng: rng, binary: binary, dir: t.TempDir(), subnet: subnet, size: s}
	t.Cleanup(f.stopAll)
	hosts := s.controls + s.routers
	for i := range hosts {
		ports := []uint16{}
		if i < s.controls {
			ports = append(ports, controlPort, operatorPort)
			f.procs = append(f.procs, &proc{fleet: f, name: fmt.Sprint("control-", i), host: i, role: "control", firstStart: true})
		}
		f.procs = append(f.procs, &proc{fleet: f, name: fmt.Sprint("router-", i), host: i, role: "router", firstStart: true})
		f.must(f.forward(f.advertised(i), f.local(i), ports...))
	}
	for i := range s.models + s.plain + s.stores {
		e := &engine{fleet: f, pool: modelPool, number: i, advertised: netip.AddrPortFrom(f.advertised(hosts+i), enginePort), local: f.local(hosts + i)}
		e.rng = rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		e.dialer.LocalAddr = tcpAddr(e.local)
		e.dialer.Timeout = time.Second
		switch {
		case i >= s.models+s.plain:
			e.pool = storePool
		case i >= s.models:
			e.pool = plainPool
		default:
			f.procs = append(f.procs, &proc{fleet: f, name: fmt.Sprint("agent-", hosts+i), host: hosts + i, role: "agent", firstStart: true})
		}
		f.must(f.forward(f.advertised(hosts+i), f.local(hosts+i), agentPort))
		f.engines = append(f.engines, e)
		e.start(false)
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
	return netip.AddrFrom4([4]byte{127, f.subnet[0], f.subnet[1], byte(i + 1)})
}

func (f *fleet) local(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.subnet[0], f.subnet[1] + 1, byte(i + 1)})
}

// operatorAddrs returns the addresses on which control processes serve operators.
func (f *fleet) operatorAddrs() (list []netip.AddrPort) {
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
		e.crash()
	}
	f.shutdown()
}

func (p *proc) dataDir() string { return filepath.Join(p.dir, p.name) }
func (p *proc) logFile() string { return filepath.Join(p.dir, p.name+".log") }

// settings returns the text of the process's settings file.
func (p *proc) settings() string {
	serves := map[string]string{"router": "edge", "control": "control_plane", "agent": "side"}[p.role]
	ip := p.advertised(p.host)
	var seeds []string
	for _, c := range p.operatorAddrs()[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", c))
	}
	data := ""
	if p.role == "control" {
		data = p.dataDir()
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
		strings.Join(seeds, ", "), p.firstStart, data, heartbeatInterval.Milliseconds(), (p.size.controls-1)/2, ip, enginePort,
		contactTimeout.Milliseconds(), gracePeriod.Seconds(), retryFraction, retryBurst, rateSlack, weightsTimeout.Milliseconds())
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
	out, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.must(err)
	defer out.Close()
	cmd := exec.Command(p.binary, "hosted", "-c", file, "--bind", p.local(p.host).String())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.must(cmd.Start())
	p.cmd, p.stopping, p.frozen, p.startedAt, p.exited = cmd, false, false, time.Now(), make(chan struct{})
	p.firstStart = false
	if p.endDisturbance == nil {
		p.endDisturbance = p.beginDisturbance()
	}
	p.endDisturbance()
	p.endDisturbance = nil
	go p.wait(cmd, p.exited)
}

// wait waits for the process to end, which is a violation unless the test stopped
// it.
func (p *proc) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		p.addViolation("ENDS", "%s exited unexpectedly: %v\n%s", p.name, err, p.tail())
	}
	p.cmd = nil
	close(exited)
}

// tail returns the last 2000 bytes that the process has written.
func (p *proc) tail() string {
	b, err := os.ReadFile(p.logFile())
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
	if s != syscall.SIGHUP && p.endDisturbance == nil {
		p.endDisturbance = p.beginDisturbance()
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.stopping = true
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
		if !p.stopping && p.endDisturbance != nil {
			p.endDisturbance()
			p.endDisturbance = nil
		}
	}
	return p.cmd.Process.Signal(s) == nil
}

// beginDisturbance counts the process as disturbed until the returned function is
// called.
func (p *proc) beginDisturbance() (end func()) {
	if p.role == "control" {
		return p.disturb(p.name, coreDisturbance)
	}
	return p.disturb(p.name)
}

func (p *proc) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL) {
		<-exited
	}
}

// terminate sends SIGTERM to the process, which must exit within gracePeriod.
func (p *proc) terminate() {
	p.mu.Lock()
	cmd, exited, frozen := p.cmd, p.exited, p.frozen
	p.mu.Unlock()
	if frozen || !p.signal(syscall.SIGTERM) {
		return
	}
	sent := time.Now()
	select {
	case <-exited:
		if code := cmd.ProcessState.ExitCode(); code != 0 && cmd.ProcessState.Exited() {
			p.addViolation("DRAIN", "%s exited with status %d after SIGTERM\n%s", p.name, code, p.tail())
		}
	case <-time.After(gracePeriod):
		p.mu.Lock()
		delayed := p.frozen || time.Since(sent) > gracePeriod+time.Second
		p.mu.Unlock()
		if !delayed {
			p.addViolation("DRAIN", "%s still runs %s after SIGTERM", p.name, gracePeriod)
		}
		p.kill()
	}
}

// appendTornWrite appends random bytes to the newest log file, as an unfinished
// write leaves them.
func (p *proc) appendTornWrite(rng *rand.Rand) {
	files, err := filepath.Glob(filepath.Join(p.dataDir(), "*.log"))
	p.must(err)
	newest, newestTime := "", time.Time{}
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(newestTime) {
			newest, newestTime = file, info.ModTime()
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
