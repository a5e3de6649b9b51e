package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of all machines. Each machine has a loopback address of its own.
const (
	frontPort     = 8606
	readinessPort = 8605
	controlPort   = 8608
	appPort       = 8700
	firstPort     = 7600
	lastPort      = 7615
)

// The bounds of the users' site kob-gj that the cases refer to.
const (
	contact     = 3 * time.Second
	catchUp     = 4 * time.Second
	drain       = 2 * time.Second
	grace       = 8 * time.Second
	configApply = 2 * time.Second
	recovery    = 12 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// deployment is a small deployment of the program.
type deployment struct {
	rec *record
	// root is the repository, and folder holds settings, logs and data.
	root, folder string
	// prefix begins the loopback addresses of all machines.
	prefix string
	// commands are the arguments of each role by whom it serves.
	commands map[string][]string
	machines []*machine
	seeds    []string
	nextHost int
}

// machine is one machine with the processes of its roles.
type machine struct {
	d          *deployment
	name, ip   string
	zone       string
	hasDisk    bool
	firstStart bool
	// engine is the address of the model runner on a side machine.
	engine    string
	processes map[string]*process
	starts    int
}

// process is a started process of one role.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// newDeployment reads the deploy file and finds a free loopback network.
func newDeployment(rec *record) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, folder: folder, nextHost: 1}
	if d.commands, err = readCommands(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		if isFree(d.prefix) {
			return d, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// isFree reports whether the ports of the first addresses are free.
func isFree(prefix string) bool {
	for host := 1; host <= 16; host++ {
		for _, port := range []int{frontPort, readinessPort, controlPort, appPort, firstPort, firstPort + 1, 9181, 9182, 9183} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// readCommands returns the command of each role of the deploy file by whom it serves.
func readCommands(path string) (map[string][]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	commands := map[string][]string{}
	var run []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " = ")
		switch name {
		case "run":
			run = strings.Fields(strings.Trim(value, `"`))
		case "serves":
			commands[strings.Trim(value, `[]"`)] = run
		}
	}
	for _, serves := range []string{"edge", "control_plane", "side"} {
		if len(commands[serves]) == 0 {
			return nil, fmt.Errorf("no role serves %s", serves)
		}
	}
	return commands, lines.Err()
}

// address returns a new loopback address.
func (d *deployment) address() string {
	d.nextHost++
	return fmt.Sprintf("%s%d", d.prefix, d.nextHost-1)
}

// addEdge adds a machine that serves callers and, with a disk, operators.
func (d *deployment) addEdge(zone string, hasDisk, firstStart bool) *machine {
	m := &machine{d: d, ip: d.address(), zone: zone, hasDisk: hasDisk, firstStart: firstStart, processes: map[string]*process{}}
	m.name = fmt.Sprintf("edge-%s-%s", zone, m.ip[strings.LastIndex(m.ip, ".")+1:])
	d.machines = append(d.machines, m)
	return m
}

// addSide adds the machine beside a model runner.
func (d *deployment) addSide(zone, ip string) *machine {
	m := &machine{d: d, ip: ip, zone: zone, engine: fmt.Sprintf("%s:%d", ip, appPort), processes: map[string]*process{}}
	m.name = fmt.Sprintf("side-%s-%s", zone, m.ip[strings.LastIndex(m.ip, ".")+1:])
	d.machines = append(d.machines, m)
	return m
}

// roles returns whom the machine's processes serve.
func (m *machine) roles() []string {
	switch {
	case m.engine != "":
		return []string{"side"}
	case m.hasDisk:
		return []string{"edge", "control_plane"}
	default:
		return []string{"edge"}
	}
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) dataDir() string { return filepath.Join(m.d.folder, m.name, "data") }

// start starts the processes of all roles.
func (m *machine) start() error {
	for _, role := range m.roles() {
		if err := m.startRole(role); err != nil {
			return err
		}
	}
	return nil
}

// startRole starts the process that serves the given ones.
func (m *machine) startRole(role string) error {
	folder := filepath.Join(m.d.folder, m.name)
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, role+".yaml")
	if err := os.WriteFile(settings, []byte(m.settings(role)), 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("%s-%d.log", role, m.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	words := m.d.commands[role]
	cmd := exec.Command(filepath.Join(m.d.root, words[0]), words[1:]...)
	cmd.Dir = m.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BORAGEWICK_NODE_FILE=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	m.processes[role] = p
	m.d.rec.log("%s: %s started, process %d", m.name, role, cmd.Process.Pid)
	return nil
}

// signal sends the signal to the process of each of the roles.
func (m *machine) signal(s syscall.Signal, roles ...string) {
	for _, role := range roles {
		if p := m.processes[role]; p != nil {
			m.d.rec.log("%s: %s gets %s", m.name, role, s)
			_ = p.cmd.Process.Signal(s)
		}
	}
}

// waitExit waits until the processes of the roles have ended, and kills them after the time.
func (m *machine) waitExit(limit time.Duration, roles ...string) {
	end := time.After(limit)
	for _, role := range roles {
		p := m.processes[role]
		if p == nil {
			continue
		}
		select {
		case <-p.done:
		case <-end:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		m.d.rec.log("%s: %s has ended", m.name, role)
	}
}

// kill ends the processes of the roles at once.
func (m *machine) kill(roles ...string) {
	m.signal(syscall.SIGKILL, roles...)
	m.waitExit(time.Second, roles...)
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, m := range d.machines {
		for role := range m.processes {
			_ = m.processes[role].cmd.Process.Kill()
		}
	}
	for _, m := range d.machines {
		for _, p := range m.processes {
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		d.rec.log("logs kept")
		fmt.Fprintln(os.Stderr, d.folder)
	}
}

// settings returns the text of the settings file of a role.
func (m *machine) settings(role string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class := "edge"
	if m.engine != "" {
		class = "side"
	}
	line("nodeName: %q", m.name)
	line("role: %q", role)
	line("machineClass: %q", class)
	line("serves: [%q]", role)
	line("ip: %q", m.ip)
	line("zone: %q", m.zone)
	line("region: %q", "region-1")
	line("zones: {zone-a: region-1, zone-b: region-1, zone-c: region-1}")
	switch role {
	case "edge":
		line("listen: {front: %q, readiness: %q}", m.front(), fmt.Sprintf("%s:%d", m.ip, readinessPort))
	case "control_plane":
		line("listen: {control: %q}", m.control())
		if m.hasDisk {
			line("dataDir: %q", m.dataDir())
		}
	case "side":
		line("listen: {}")
		line("app: %q", m.engine)
		line("service: %q", engineService)
	}
	line("portRange: [%d, %d]", firstPort, lastPort)
	line("seeds:")
	for _, s := range m.d.seeds {
		line("  - %q", s)
	}
	line("firstStart: %t", m.firstStart)
	line("toleranceMember: %t", m.hasDisk)
	line("limits: {cpuShare: 0.72, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 64}")
	line("discovery: registration")
	line("entry: vip")
	line("heartbeatMs: %d", heartbeat.Milliseconds())
	line("contracts: [base, drain, config, cost, retry, recover, kvcache, stream, engine, tenants, quota]")
	line("tolerate: {machines: 1, zones: 0, regions: 0}")
	line("bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200," +
		" configApplyMs: 2000, downgradeSlackMs: 250, outerMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2," +
		" budgetWindowS: 10, retryBudgetSlack: 60, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 110000, recoveryS: 12, transitMs: 120," +
		" retryAfterS: 10, requireFence: true, leaseMs: 3000, thawMs: 300, versionMs: 10000, versionAllMs: 14000}")
	line("configMode: highest")
	return b.String()
}

// startCore starts three machines with disks as a new deployment.
func (d *deployment) startCore() ([]*machine, error) {
	var core []*machine
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		m := d.addEdge(zone, true, true)
		core = append(core, m)
		d.seeds = append(d.seeds, m.control())
	}
	for _, m := range core {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return core, nil
}

// coreDown is how long the processes of the core are down when all are killed.
const coreDown = 800 * time.Millisecond

// restartCore kills the processes of all machines of the core and starts them again.
func (d *deployment) restartCore(core []*machine, roles ...string) error {
	d.rec.log("all processes of the core are killed")
	for _, m := range core {
		m.signal(syscall.SIGKILL, roles...)
	}
	for _, m := range core {
		m.waitExit(time.Second, roles...)
	}
	time.Sleep(coreDown)
	for _, m := range core {
		m.firstStart = false
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}
