package logic

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// maxLineLength bounds the lines of the module, in characters.
const maxLineLength = 110

// nonPolicyFiles are the files of the module that the deploy file does not name as its policy.
var nonPolicyFiles = map[string]bool{
	"doc.go": true, "settings.go": true, "event.go": true, "action.go": true,
}

// The deploy file names the files that hold decisions, for those who review a change of policy. A file that
// it does not name would be changed unseen, and a name that is left over after a file has moved would hide
// that.
func TestPolicyListsAllDecisionFiles(t *testing.T) {
	policy := policyFiles(t)
	for _, name := range moduleFiles(t) {
		if !nonPolicyFiles[name] && !policy["logic/"+name] {
			t.Errorf("%s holds decisions and is not named in policy", name)
		}
	}
	for name := range policy {
		if _, err := os.Stat(filepath.Join("..", name)); err != nil {
			t.Errorf("policy names %s: %v", name, err)
		}
	}
	for name := range nonPolicyFiles {
		if _, err := os.Stat(name); err != nil {
			t.Errorf("listed as a file without decisions: %v", err)
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
				t.Errorf("%s:%d has %d characters, at most %d are allowed", name, i+1, n, maxLineLength)
			}
		}
	}
}

// moduleFiles returns the names of the files of the module without tests.
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
		t.Fatal("the module has no files")
	}
	return names
}

// policyFiles returns the files that the deploy file names as the policy.
func policyFiles(t *testing.T) map[string]bool {
	t.Helper()
	settings, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]`).FindSubmatch(settings)
	if line == nil {
		t.Fatal("the deploy file has no policy")
	}
	files := map[string]bool{}
	for _, quoted := range regexp.MustCompile(`"[^"]*"`).FindAllString(string(line[1]), -1) {
		files[strings.Trim(quoted, `"`)] = true
	}
	return files
}
