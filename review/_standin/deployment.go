package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the programs. Each host has a loopback address of its own.
const (
	appPort       = 8602
	readinessPort = 8605
	frontPort     = 8606
	controlPort   = 8608
	firstLinkPort = 7600
	lastLinkPort  = 7615
	routerMetrics = 9181
	ctrlMetrics   = 9182
	agentMetrics  = 9183
)

// program is built by the build line of the deploy file.
const program = "target/boragewick"

// heartbeat is the heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// deployment is a set of processes of the program on loopback addresses.
type deployment struct {
	rec    *record
	dir    string
	subnet [2]byte
	// memoryMB is the memoryMb of the settings.
	memoryMB int
	zones    []string

	mu    sync.Mutex
	procs []*process
	ended bool
}

// process is one process of the program, across restarts.
type process struct {
	*deployment
	role string
	host int
	cmd  *exec.Cmd
	// stopping is set once the case has sent a signal that ends the process.
	stopping   bool
	exited     chan struct{}
	firstStart bool
}

func newDeployment(rec *record) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: build the deploy file first: %w", errNotRun, err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, memoryMB: 284, zones: []string{"gw-a", "gw-b", "gw-c"}}
	for range 200 {
		d.subnet = [2]byte{byte(64 + rand.IntN(128)), byte(1 + rand.IntN(250))}
		if d.isFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("%w: no free addresses", errNotRun)
}

// isFree reports whether the ports of the first hosts are free.
func (d *deployment) isFree() bool {
	for host := 1; host <= 12; host++ {
		for _, port := range []int{appPort, readinessPort, frontPort, controlPort, firstLinkPort, firstLinkPort + 1, routerMetrics, ctrlMetrics, agentMetrics} {
			l, err := net.Listen("tcp4", d.addr(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet[0], d.subnet[1], host)
}

func (d *deployment) addr(host, port int) string { return fmt.Sprintf("%s:%d", d.ip(host), port) }

func (d *deployment) zone(host int) string { return d.zones[(host-1)%len(d.zones)] }

// controls returns the addresses on which the control processes, on the first three
// hosts, serve operators and servers.
func (d *deployment) controls() []string {
	return []string{d.addr(1, controlPort), d.addr(2, controlPort), d.addr(3, controlPort)}
}

// startCore starts a control process and a router on each of the first three hosts.
func (d *deployment) startCore() error {
	for host := 1; host <= 3; host++ {
		for _, role := range []string{"control", "router"} {
			if err := d.add(role, host); err != nil {
				return err
			}
		}
	}
	return nil
}

// add starts a process of the role on the host.
func (d *deployment) add(role string, host int) error {
	p := &process{deployment: d, role: role, host: host, firstStart: true}
	d.mu.Lock()
	d.procs = append(d.procs, p)
	d.mu.Unlock()
	return p.start()
}

// shutdown kills all processes and removes their files.
func (d *deployment) shutdown() {
	d.mu.Lock()
	d.ended = true
	list := d.procs
	d.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		d.rec.log("logs kept in %s", d.dir)
	}
}

func (p *process) name() string { return fmt.Sprintf("%s-%d", p.role, p.host) }

func (p *process) file(suffix string) string { return filepath.Join(p.dir, p.name()+suffix) }

// settings returns the settings file of the process.
func (p *process) settings() string {
	serves, data, listen := "", "null", ""
	ip := p.ip(p.host)
	switch p.role {
	case "router":
		serves = "edge"
		listen = fmt.Sprintf("\n  front: %q\n  readiness: %q", p.addr(p.host, frontPort), p.addr(p.host, readinessPort))
	case "control":
		serves = "control_plane"
		data = fmt.Sprintf("%q", p.file(".data"))
		listen = fmt.Sprintf("\n  control: %q", p.addr(p.host, controlPort))
	case "agent":
		serves = "side"
		listen = " {}"
	}
	var zones, seeds strings.Builder
	for _, z := range p.zones {
		fmt.Fprintf(&zones, "  %s: \"gujarat-west\"\n", z)
	}
	for _, a := range p.controls() {
		fmt.Fprintf(&seeds, "  - %q\n", a)
	}
	return fmt.Sprintf(`nodeName: %q
role: %q
machineClass: "edge"
serves:
  - %q
ip: %q
zone: %q
region: "gujarat-west"
zones:
%slisten:%s
portRange:
  - %d
  - %d
seeds:
%sfirstStart: %t
toleranceMember: true
limits:
  cpuShare: 0.72
  cores: 1
  memoryMb: %d
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 64
dataDir: %s
discovery: "registration"
entry: "vip"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota"]
tolerate:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  downgradeSlackMs: 250
  outerMs: 5000
  strictRevoke: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 60
  quotaWindowS: 8
  quotaOverage: 0.1
  quotaSlack: 110000
  recoveryS: 12
  transitMs: 120
  retryAfterS: 10
  requireFence: true
  leaseMs: 3000
  thawMs: 300
  versionMs: 10000
  versionAllMs: 14000
configMode: "highest"
app: "%s:%d"
service: "llm-pool"
`, p.name(), p.role, serves, ip, p.zone(p.host), zones.String(), listen, firstLinkPort, lastLinkPort, seeds.String(),
		p.firstStart, p.memoryMB, data, heartbeat.Milliseconds(), ip, appPort)
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.cmd != nil {
		return nil
	}
	if err := os.WriteFile(p.file(".yaml"), []byte(p.settings()), 0o600); err != nil {
		return err
	}
	if p.role == "control" {
		if err := os.MkdirAll(p.file(".data"), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	metrics := map[string]int{"router": routerMetrics, "control": ctrlMetrics, "agent": agentMetrics}[p.role]
	cmd := exec.Command(program, "hosted", "--metrics-port", fmt.Sprint(metrics))
	cmd.Env = append(os.Environ(), "BORAGEWICK_NODE_FILE="+p.file(".yaml"))
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the driver ends early
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.stopping, p.exited, p.firstStart = cmd, false, make(chan struct{}), false
	go p.wait(cmd, p.exited)
	return nil
}

// wait records the end of the process.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		p.rec.log("%s ended by itself: %v", p.name(), err)
	}
	p.cmd = nil
	close(exited)
}

// signal sends a signal to the process and reports whether it runs.
func (p *process) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopping = true
	}
	return p.cmd.Process.Signal(s) == nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL) {
		<-exited
	}
}
