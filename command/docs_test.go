package command

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pageLink is a link in a page to a file of the repository.
var pageLink = regexp.MustCompile(`\]\(([^):#]+)\)`)

func TestLinksOfPages(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(filepath.Join(rootFolder, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range pageLink.FindAllSubmatch(text, -1) {
			target := filepath.Join(rootFolder, filepath.Dir(page), string(m[1]))
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: %s", page, err)
			}
		}
	}
}

func TestLayoutNamesEveryPackage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(rootFolder, "docs/LAYOUT.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^- `([^`]+)`: ").FindAllSubmatch(text, -1) {
		listed[string(m[1])] = true
	}
	found := packages(t)
	for name := range found {
		if !listed[name] {
			t.Errorf("docs/LAYOUT.md does not name the package %s", name)
		}
	}
	for name := range listed {
		if !found[name] {
			t.Errorf("docs/LAYOUT.md names %s, which is no package", name)
		}
	}
}

// packages returns the folders below the root that hold Go files besides tests.
func packages(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := fs.WalkDir(os.DirFS(rootFolder), ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "testdata" || path != "." && strings.HasPrefix(d.Name(), ".")) {
			return fs.SkipDir
		}
		dir := filepath.Dir(path)
		if dir != "." && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			found[dir] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
