package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"
)

// docStart matches the start of a package's doc comment.
var docStart = regexp.MustCompile(`^(Package|Command) \S+ `)

const modulePath = "github.com/boragewick/boragewick"

// pageLink matches a link in a page to a file of the repository.
var pageLink = regexp.MustCompile(`\]\(([^):#]+)\)`)

func TestLinksOfPages(t *testing.T) {
	for _, page := range pages(t) {
		for _, m := range pageLink.FindAllStringSubmatch(readFile(t, page), -1) {
			target := filepath.Join(rootFolder, filepath.Dir(page), m[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: %s", page, err)
			}
		}
	}
}

// apiPath matches a method and path as package operator registers it.
var apiPath = regexp.MustCompile(`"((?:GET|POST) /[^"]*)"`)

func TestOperatorsPageNamesEverything(t *testing.T) {
	page := readFile(t, "docs/OPERATORS.md")
	var wanted []string
	for _, m := range apiPath.FindAllStringSubmatch(readFile(t, "operator/operator.go"), -1) {
		wanted = append(wanted, "| `"+m[1])
	}
	if len(wanted) == 0 {
		t.Error("no paths found in package operator")
	}
	for _, c := range leafCommands(newRoot()) {
		wanted = append(wanted, "| `"+strings.TrimPrefix(c.CommandPath(), "boragewick "))
	}
	for _, e := range errorExitCodes {
		wanted = append(wanted, fmt.Sprintf("| %d |", e.code))
	}
	for _, text := range wanted {
		if !strings.Contains(page, text) {
			t.Errorf("docs/OPERATORS.md has no row %q", text)
		}
	}
}

func leafCommands(cmd *cobra.Command) []*cobra.Command {
	if len(cmd.Commands()) == 0 {
		return []*cobra.Command{cmd}
	}
	var leaves []*cobra.Command
	for _, c := range cmd.Commands() {
		leaves = append(leaves, leafCommands(c)...)
	}
	return leaves
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(rootFolder, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// listedPackage holds the fields of go list's output for a package.
type listedPackage struct {
	ImportPath string
	Doc        string
	Imports    []string
}

// TestPackagesPage checks that docs/PACKAGES.md matches the output of go list; run
// it with -update after a package or an import has changed.
func TestPackagesPage(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir(filepath.Join(rootFolder, "docs")), goldie.WithNameSuffix(".md"))
	g.Assert(t, "PACKAGES", []byte(packagesPage(listPackages(t))))
}

func listPackages(t *testing.T) map[string]listedPackage {
	t.Helper()
	cmd := exec.Command("go", "list", "-json=ImportPath,Doc,Imports", "./...")
	cmd.Dir = rootFolder
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	list := map[string]listedPackage{}
	for d := json.NewDecoder(bytes.NewReader(out)); d.More(); {
		var p listedPackage
		if err := d.Decode(&p); err != nil {
			t.Fatal(err)
		}
		p.Imports = slices.DeleteFunc(p.Imports, func(path string) bool { return !strings.HasPrefix(path, modulePath) })
		list[p.ImportPath] = p
	}
	return list
}

// layerOf returns one more than the highest layer that the package imports.
func layerOf(list map[string]listedPackage, path string) int {
	layer := 0
	for _, imported := range list[path].Imports {
		layer = max(layer, layerOf(list, imported)+1)
	}
	return layer
}

func packagesPage(list map[string]listedPackage) string {
	layers := map[int][]string{}
	for path := range list {
		layer := layerOf(list, path)
		layers[layer] = append(layers[layer], path)
	}
	var page strings.Builder
	page.WriteString("# Packages\n\nFrom `go list`. A package stands one layer above the highest one that it\nimports. Imports of the root package are left out.\n")
	for layer := len(layers) - 1; layer >= 0; layer-- {
		fmt.Fprintf(&page, "\n## Layer %d\n\n", layer)
		slices.Sort(layers[layer])
		for _, path := range layers[layer] {
			page.WriteString(packageLine(list[path]))
		}
	}
	return page.String()
}

func packageLine(p listedPackage) string {
	var imports []string
	for _, path := range p.Imports {
		if path != modulePath {
			imports = append(imports, shortName(path))
		}
	}
	line := "- `" + shortName(p.ImportPath) + "`: " + strings.TrimSuffix(docStart.ReplaceAllString(p.Doc, ""), ".")
	if len(imports) > 0 {
		line += "; imports " + strings.Join(imports, ", ")
	}
	return line + "\n"
}

// shortName returns the path below the module's root.
func shortName(path string) string {
	return strings.TrimPrefix(path, modulePath+"/")
}
