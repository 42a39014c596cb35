package logic

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// The decisions stay small enough for one reader: at most 1200 lines that are not blank over the files that the platform's
// settings name as the policy, which are all but the interface, the state and the tests, and none over 110 characters.
func TestModuleSize(t *testing.T) {
	settings, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = .*$`).FindString(string(settings))
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || name == "api.go" || name == "state.go" {
			continue
		}
		if !strings.Contains(policy, `"logic/`+name+`"`) {
			t.Errorf("%s is not named as a file of the policy", name)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(line); n > 110 {
				t.Errorf("%s: line %d has %d characters", name, i+1, n)
			}
		}
	}
	if lines == 0 || lines > 1200 {
		t.Errorf("%d lines that are not blank", lines)
	}
}
