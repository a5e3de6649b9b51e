package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"

	"gopkg.in/ini.v1"
)

// commentedSetting matches a commented-out setting, which an example shows with
// its default value.
var commentedSetting = regexp.MustCompile(`(?m)^;([a-z_]+ = )`)

// examples returns the contents of the files under etc by path.
func examples(t *testing.T) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	err := filepath.WalkDir("../etc", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		files[path], err = os.ReadFile(path)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no examples")
	}
	return files
}

// uncomment enables the commented-out settings.
func uncomment(text []byte) []byte { return commentedSetting.ReplaceAll(text, []byte("$1")) }

func TestExamplesAreValid(t *testing.T) {
	for path, text := range examples(t) {
		t.Run(path, func(t *testing.T) {
			if _, err := Load(path); err != nil {
				t.Error(err)
			}
			if _, err := Parse(uncomment(text)); err != nil {
				t.Errorf("with the commented-out settings enabled: %s", err)
			}
		})
	}
}

// TestCommentedExamplesAreDefaults guards against examples that show outdated
// defaults. The objectives are left out: another package has their defaults.
func TestCommentedExamplesAreDefaults(t *testing.T) {
	for path, text := range examples(t) {
		t.Run(path, func(t *testing.T) {
			defaults, err := Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			uncommented, err := Parse(uncomment(text))
			if err != nil {
				t.Fatal(err)
			}
			uncommented.Report = defaults.Report
			if !reflect.DeepEqual(defaults, uncommented) {
				t.Errorf("a commented-out setting differs from the default:\n%+v\n%+v", defaults, uncommented)
			}
		})
	}
}

func TestEverySettingHasAnExample(t *testing.T) {
	shown := map[string]bool{}
	for path, text := range examples(t) {
		file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, uncomment(text))
		if err != nil {
			t.Fatalf("%s: %s", path, err)
		}
		for _, s := range file.Sections() {
			for _, k := range s.Keys() {
				shown[s.Name()+" "+k.Name()] = true
			}
		}
	}
	sections := reflect.TypeFor[Settings]()
	for i := range sections.NumField() {
		section := sections.Field(i)
		for j := range section.Type.NumField() {
			name := section.Tag.Get("ini") + " " + section.Type.Field(j).Tag.Get("ini")
			if !shown[name] {
				t.Errorf("no file under etc shows %s", name)
			}
		}
	}
}
