package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

// rootFolder is the path of the repository's root.
const rootFolder = ".."

// runnableBlock matches a fenced block of commands that must run as written against
// a fresh boragewick dev. Blocks with another tag, such as console, are not run.
var runnableBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")

// runningDev is the first line that a boragewick dev process prints.
type runningDev struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Key      string `json:"key"`
	Token    string `json:"operator_token"`
}

// TestPages runs the commands of each page in order, each page against its own
// boragewick dev process.
func TestPages(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Fatal("the pages use curl, which is missing on this machine: install it")
	}
	bin := buildBinary(t)
	for _, page := range pages(t) {
		script := scriptOf(readFile(t, page))
		if script == "" {
			continue
		}
		t.Run(page, func(t *testing.T) { runPage(t, bin, script) })
	}
}

// pages returns the paths of the documentation pages relative to the root.
func pages(t *testing.T) []string {
	t.Helper()
	list := []string{"README.md"}
	for _, pattern := range []string{"docs/*.md", "docs/operators/*.md"} {
		found, err := fs.Glob(os.DirFS(rootFolder), pattern)
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: %v, %v", pattern, found, err)
		}
		list = append(list, found...)
	}
	return list
}

// scriptOf joins a page's runnable blocks into one script, which prints the first
// line of each block before it runs the block.
func scriptOf(page string) string {
	var script strings.Builder
	for _, m := range runnableBlock.FindAllStringSubmatch(page, -1) {
		first, _, _ := strings.Cut(m[1], "\n")
		script.WriteString("echo '== " + strings.ReplaceAll(first, "'", "") + "'\n" + m[1])
	}
	return script.String()
}

func buildBinary(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	cmd := exec.Command("go", "build", "-o", filepath.Join(bin, "boragewick"), "./cmd/boragewick")
	cmd.Dir = rootFolder
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %s", err, out)
	}
	return bin
}

func runPage(t *testing.T, bin, script string) {
	dir := t.TempDir()
	d := startDev(t, filepath.Join(bin, "boragewick"))
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(d.Token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(dir, "etc"), os.DirFS(filepath.Join(rootFolder, "etc"))); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), "sh", "-eu")
	cmd.Stdin = strings.NewReader(script)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(),
		"PATH="+bin+string(filepath.ListSeparator)+os.Getenv("PATH"),
		"CALLER="+d.Caller,
		"OPERATOR="+d.Operator,
		"KEY="+d.Key,
		"TOKEN_FILE="+token,
	)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s after:\n%s", err, out)
	}
	t.Logf("%s", out)
}

// startDev runs a boragewick dev process until the test ends; it must then exit
// without an error.
func startDev(t *testing.T, path string) runningDev {
	t.Helper()
	cmd := exec.Command(path, "dev", "--caller", "127.0.0.1:0", "--operator", "127.0.0.1:0", "--data", t.TempDir())
	var log bytes.Buffer
	cmd.Stderr = &log
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var d runningDev
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &d)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("dev: %s after:\n%s", err, log.String())
		}
	})
	if err != nil {
		t.Fatalf("dev's first line %q: %s", line, err)
	}
	return d
}
