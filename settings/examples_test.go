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

// commented is a setting that an example shows and leaves at its default.
var commented = regexp.MustCompile(`(?m)^;([a-z_]+ = )`)

// examples returns the text of every file under etc by its path.
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

// uncomment puts the commented settings in force.
func uncomment(text []byte) []byte { return commented.ReplaceAll(text, []byte("$1")) }

func TestExamplesPassTheCheck(t *testing.T) {
	for path, text := range examples(t) {
		t.Run(path, func(t *testing.T) {
			if _, err := Load(path); err != nil {
				t.Error(err)
			}
			if _, err := Parse(uncomment(text)); err != nil {
				t.Errorf("with the commented settings: %s", err)
			}
		})
	}
}

// TestCommentedExamplesAreDefaults keeps what the examples call the default
// true, but for the objectives, whose defaults another package knows.
func TestCommentedExamplesAreDefaults(t *testing.T) {
	for path, text := range examples(t) {
		t.Run(path, func(t *testing.T) {
			plain, err := Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			whole, err := Parse(uncomment(text))
			if err != nil {
				t.Fatal(err)
			}
			whole.Report = plain.Report
			if !reflect.DeepEqual(plain, whole) {
				t.Errorf("a commented setting is not the default:\n%+v\n%+v", plain, whole)
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
