package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

type sample struct {
	Name string   `toml:"name"`
	Wait Duration `toml:"wait"`
	Days []struct {
		Name string  `toml:"name"`
		Rate float64 `toml:"rate"`
	} `toml:"day"`
}

func (s *sample) Check() error {
	var all []error
	for i, d := range s.Days {
		if d.Rate < 0 {
			all = append(all, Wrong("day["+string(rune('0'+i))+"].rate", "must not be below 0, not %v", d.Rate))
		}
	}
	return errors.Join(all...)
}

// Every error in a file is reported, each with the file, line and key.
func TestErrorsContainTheirPosition(t *testing.T) {
	for text, want := range map[string][]string{
		"name = \"x\"\nwiat = \"1s\"\n":     {"f.toml:2: wiat: no such key"},
		"name = \"x\"\n\nwait = \"soon\"\n": {"f.toml:3", "wait", "is not a duration such as"},
		"name = 3\n":                        {"f.toml:1", "name"},
		"name = \n":                         {"f.toml:1"},
		"[[day]]\nrate = 1\n[[day]]\nname = \"b\"\nrate = -2\n[[day]]\nrate = -3.5\n":  {"f.toml:5: day[1].rate: must not", "f.toml:7: day[2].rate"},
		"wait = \"250ms\"\n[[day]]\nname = \"a\"\n[[day]]\nname = \"b\" # rate = -1\n": nil,
	} {
		err := TOML("f.toml", []byte(text), &sample{})
		if want == nil {
			if err != nil {
				t.Errorf("%q: %v", text, err)
			}
			continue
		}
		for _, part := range want {
			if err == nil || !strings.Contains(err.Error(), part) {
				t.Errorf("%q: %v, want %q", text, err, part)
			}
		}
	}
}

func TestJSONErrorsContainTheirPosition(t *testing.T) {
	var into struct {
		Limits struct{ Cores float64 }
	}
	for text, want := range map[string]string{
		"{\n\"limits\": {\n\"cores\": \"one\"}}": "f.json:3: limits.cores: cannot decode string as float64",
		"{\n\"limits\": }":                       "f.json:2: invalid character",
	} {
		if err := JSON("f.json", []byte(text), &into); err == nil || !strings.HasPrefix(strings.ToLower(err.Error()), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestReadRejectsMissingFilesAndDirectories(t *testing.T) {
	dir := t.TempDir()
	if _, err := Read(filepath.Join(dir, "none")); err == nil || !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	if _, err := Read(dir); err == nil {
		t.Error("a directory was read without an error")
	}
}

// Any text decodes to a value or returns an error that contains the file name.
func FuzzTOML(f *testing.F) {
	f.Add("name = \"x\"\n[[day]]\nrate = -1\n")
	f.Add("[[day.x]]\n[day]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if err := TOML("f.toml", []byte(text), &sample{}); err != nil && !strings.Contains(err.Error(), "f.toml") {
			t.Error(err)
		}
	})
}
