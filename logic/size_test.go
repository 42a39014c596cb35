package logic

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// maxLineLength is the maximum length of a line in the package's product files, in characters.
const maxLineLength = 110

// nonPolicyFiles are the product files of the package that the deploy file does not list under policy.
var nonPolicyFiles = map[string]bool{
	"doc.go": true, "settings.go": true, "event.go": true, "action.go": true,
}

// The deploy file lists the files that hold decisions, for reviewers of policy changes. A change in a file
// that is not listed could be overlooked. An outdated name, left after a file was moved, would hide that
// the file is no longer listed.
func TestPolicyListsAllDecisionFiles(t *testing.T) {
	policy := policyFiles(t)
	for _, name := range moduleFiles(t) {
		if !nonPolicyFiles[name] && !policy["logic/"+name] {
			t.Errorf("%s holds decisions, but policy does not list it", name)
		}
	}
	for name := range policy {
		if _, err := os.Stat(filepath.Join("..", name)); err != nil {
			t.Errorf("policy lists %s: %v", name, err)
		}
	}
	for name := range nonPolicyFiles {
		if _, err := os.Stat(name); err != nil {
			t.Errorf("nonPolicyFiles lists a missing file: %v", err)
		}
	}
}

func TestLinesOfModuleAreShort(t *testing.T) {
	for _, name := range moduleFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(line); n > maxLineLength {
				t.Errorf("%s:%d has %d characters, want at most %d", name, i+1, n, maxLineLength)
			}
		}
	}
}

// moduleFiles returns the names of the package's files, except tests.
func moduleFiles(t *testing.T) (names []string) {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		t.Fatal("the package has no files")
	}
	return names
}

// policyFiles returns the files that the deploy file lists under policy.
func policyFiles(t *testing.T) map[string]bool {
	t.Helper()
	settings, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]`).FindSubmatch(settings)
	if line == nil {
		t.Fatal("the deploy file has no policy setting")
	}
	files := map[string]bool{}
	for _, quoted := range regexp.MustCompile(`"[^"]*"`).FindAllString(string(line[1]), -1) {
		files[strings.Trim(quoted, `"`)] = true
	}
	return files
}
