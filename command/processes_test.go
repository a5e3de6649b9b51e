package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/standin/plainservice"
	"github.com/boragewick/boragewick/tcpport"
)

const (
	testToken = "an-operator-token-of-a-test"
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// deployment is a set of operating-system processes on the loopback address
// that connect to each other with mutual TLS.
type deployment struct {
	*testing.T
	dir    string
	binary string
	flags  []string
	caller string
	ledger plainservice.Service
	procs  map[string]*exec.Cmd
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{T: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	d.binary = filepath.Join(d.dir, "boragewick")
	if out, err := exec.Command("go", "build", "-o", d.binary, "../cmd/boragewick").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	d.writeFile("secret", "a-secret-of-sixteen-bytes-or-more")
	d.writeFile("tokens", "ann "+testToken)
	d.writeFile("token", testToken)
	d.run("certs", "authority", "--dir", d.path("authority"), "--name", "test")
	t.Cleanup(d.killAll)
	d.startAll()
	return d
}

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name) }

func (d *deployment) writeFile(name, text string) {
	if err := os.WriteFile(d.path(name), []byte(text), 0o600); err != nil {
		d.Fatal(err)
	}
}

// run runs a command to its end and returns its output.
func (d *deployment) run(args ...string) string {
	d.Helper()
	out, err := exec.Command(d.binary, args...).CombinedOutput()
	if err != nil {
		d.Fatalf("boragewick %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

// runOperator runs a command that calls the operator API.
func (d *deployment) runOperator(args ...string) string {
	d.Helper()
	return d.run(append(args, d.flags...)...)
}

// reserveAddress returns a loopback address that is reserved until the test ends.
func (d *deployment) reserveAddress() string {
	r, err := tcpport.Reserve()
	if err != nil {
		d.Fatal(err)
	}
	d.Cleanup(func() { _ = r.Close() })
	return r.Addr.String()
}

// start writes the instance's settings and certificate and starts its process.
func (d *deployment) start(name, controls, services, settings string) {
	d.Helper()
	d.run("certs", "issue", "--dir", d.path("authority"), "--instance", name, "--address", "127.0.0.1", "--out", d.path(name+".pem"))
	text := fmt.Sprintf("[instance]\nname = %s\nfailure_domain = a\nregion = r\nservices = %s\ndata = %s\n"+
		"[control]\nreplicas = %s\n[keys]\nhash_secret_file = %s\n"+
		"[links]\nauthority_file = %s\ncertificate_file = %s\n%s",
		name, services, d.path(name), controls, d.path("secret"),
		filepath.Join(d.path("authority"), "authority.pem"), d.path(name+".pem"), settings)
	d.writeFile(name+".ini", text)
	d.run("check", "-c", d.path(name+".ini"))
	d.spawn(name)
}

func (d *deployment) spawn(name string) {
	d.Helper()
	cmd := exec.Command(d.binary, "run", "-c", d.path(name+".ini"))
	log, err := os.OpenFile(d.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.Fatal(err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		d.Fatal(err)
	}
	d.procs[name] = cmd
}

// kill ends a process without a shutdown, as a crash does.
func (d *deployment) kill(name string) {
	cmd := d.procs[name]
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	delete(d.procs, name)
}

func (d *deployment) killAll() {
	for name := range d.procs {
		d.kill(name)
	}
}

func (d *deployment) startAll() {
	d.Helper()
	engine, ledger := d.reserveAddress(), startHTTPServer(d, &d.ledger)
	cmd := exec.Command(d.binary, "standin", "model", "--listen", engine)
	if err := cmd.Start(); err != nil {
		d.Fatal(err)
	}
	d.procs["engine"] = cmd
	var controls []string
	addresses := map[string]string{}
	for n := range 3 {
		name := fmt.Sprintf("control-%d", n)
		addresses[name] = d.reserveAddress()
		controls = append(controls, name+"@"+addresses[name])
	}
	list := strings.Join(controls, ", ")
	for name, address := range addresses {
		d.start(name, list, "control", "listen = "+address+"\n")
	}
	d.start("model-0", list, "agent", "listen = "+d.reserveAddress()+"\n[agent]\npool = models\nkind = model\nmodels = m@v1\nendpoint = "+engine+"\n")
	d.start("ledger-0", list, "agent", "listen = "+d.reserveAddress()+"\n[agent]\npool = ledger\nkind = plain\nendpoint = "+ledger+"\n")
	caller, operator := d.reserveAddress(), d.reserveAddress()
	d.start("router-0", list, "caller, operator", "[caller]\nlisten = "+caller+"\n[operator]\nlisten = "+operator+"\ntokens_file = "+d.path("tokens")+"\n")
	d.caller = "http://" + caller
	d.flags = []string{"--operator", "http://" + operator, "--token-file", d.path("token"), "--output", "json"}
	d.await("the router is ready", func() bool { return getStatus("http://"+operator+"/readyz") == http.StatusOK })
	d.await("both endpoints have announced themselves", func() bool {
		var s boragewick.StatusReply
		out, err := exec.Command(d.binary, append([]string{"status"}, d.flags...)...).Output()
		return err == nil && json.Unmarshal(out, &s) == nil && len(s.Endpoints) == 2
	})
}

// startHTTPServer serves the handler until the test ends and returns its address.
func startHTTPServer(d *deployment, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	d.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func getStatus(url string) int {
	w, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer w.Body.Close()
	return w.StatusCode
}

func (d *deployment) await(what string, ok func() bool) {
	d.Helper()
	deadline, limited := d.Deadline()
	for !ok() {
		if limited && time.Until(deadline) < time.Minute {
			d.Fatalf("condition not met before the deadline: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// apply plans and confirms the intent and waits until it is in force.
func (d *deployment) apply(intent string) boragewick.PlanReply {
	d.Helper()
	d.writeFile("intent.ini", intent)
	var reply boragewick.PlanReply
	if err := json.Unmarshal([]byte(d.runOperator("plan", "-f", d.path("intent.ini"))), &reply); err != nil {
		d.Fatal(err)
	}
	d.runOperator("confirm", string(reply.Plan.ID), "--wait")
	return reply
}

// post returns the status, the outcome and the body of an answer.
func (d *deployment) post(path, key, idempotency, body string) (int, string, string) {
	r, err := http.NewRequest(http.MethodPost, d.caller+path, strings.NewReader(body))
	if err != nil {
		d.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", idempotency)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err.Error()
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return w.StatusCode, w.Header.Get(boragewick.OutcomeHeader), string(text)
}

func (d *deployment) leader() string {
	d.Helper()
	var s boragewick.StatusReply
	if err := json.Unmarshal([]byte(d.runOperator("status")), &s); err != nil {
		d.Fatal(err)
	}
	return s.Log.Leader
}

// TestSeparateProcesses runs a deployment as separate processes while the leader is
// killed or frozen and the router and an agent are killed. Model requests and
// configuration changes must succeed after each fault. A payout must run at most
// once, and exactly once if it was answered with 200.
func TestSeparateProcesses(t *testing.T) {
	d := newDeployment(t)
	key := d.apply("[workspace /a]\n[key /a/key]\nworkspace = /a\n" +
		"[rate /a/rate]\nworkspace = /a\ntokens_per_second = 100000\nburst = 1000000\n" +
		"[route /m]\nmodel = m\npool = models\nweights = v1\nrepeatable = true\n" +
		"[route /ledger]\nprefix = /ledger\npool = ledger\n").Keys[0].Secret
	const chat = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`
	served := func() bool {
		status, _, text := d.post("/v1/chat/completions", key, "", chat)
		return status == http.StatusOK && strings.HasSuffix(text, "data: [DONE]\n\n")
	}
	if !served() {
		t.Fatal("incomplete answer from a healthy deployment")
	}
	faults := []struct {
		name    string
		inject  func() string
		restore func(instance string)
	}{
		{"leader killed", func() string {
			name := d.leader()
			d.kill(name)
			return name
		}, d.spawn},
		{"leader frozen", func() string {
			name := d.leader()
			_ = d.procs[name].Process.Signal(syscall.SIGSTOP)
			return name
		}, func(name string) { _ = d.procs[name].Process.Signal(syscall.SIGCONT) }},
		{"router killed", func() string {
			d.kill("router-0")
			d.spawn("router-0")
			return "router-0"
		}, func(string) {}},
		{"agent killed", func() string {
			d.kill("ledger-0")
			d.spawn("ledger-0")
			return "ledger-0"
		}, func(string) {}},
	}
	payoutStatus := map[string]int{}
	for n, fault := range faults {
		instance := fault.inject()
		d.await("answers after "+fault.name, served)
		id := fmt.Sprintf("payout-%d", n)
		d.await(id, func() bool {
			status, outcome, _ := d.post("/ledger/payouts", key, id, id)
			payoutStatus[id] = status
			return status == http.StatusOK || outcome == string(boragewick.OutcomeUnknown)
		})
		d.await("a change after "+fault.name, func() bool {
			d.writeFile("intent.ini", fmt.Sprintf("[workspace /after/fault%d]\n", n))
			out, err := exec.Command(d.binary, append([]string{"plan", "-f", d.path("intent.ini")}, d.flags...)...).Output()
			var reply boragewick.PlanReply
			if err != nil || json.Unmarshal(out, &reply) != nil {
				return bytes.Contains(out, []byte("already so"))
			}
			return exec.Command(d.binary, append([]string{"confirm", string(reply.Plan.ID)}, d.flags...)...).Run() == nil
		})
		fault.restore(instance)
	}
	var objects boragewick.GetReply
	if err := json.Unmarshal([]byte(d.runOperator("get", "workspace")), &objects); err != nil || len(objects.Objects) != 1+len(faults) {
		t.Errorf("%d workspaces, want %d (%v)", len(objects.Objects), 1+len(faults), err)
	}
	runs := d.ledger.Ledger()
	for id, status := range payoutStatus {
		if runs[id] > 1 || (status == http.StatusOK && runs[id] != 1) {
			t.Errorf("%s: status %d after %d runs", id, status, runs[id])
		}
	}
}
