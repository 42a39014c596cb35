package event

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The page for on-call engineers refers to events, reasons and files. After a rename, a reader would search the log or the tree for a
// name that does not exist any more. Every name that the page has in backticks must exist.
func TestNamesOnOnCallPageExist(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "oncall.md"))
	if err != nil {
		t.Fatal(err)
	}
	quoted := regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(string(page), -1)
	files := 0
	for _, match := range quoted {
		text := match[1]
		for _, reason := range regexp.MustCompile(`reason=([a-z_]+)`).FindAllStringSubmatch(text, -1) {
			if !slices.Contains(reasonNames[:], reason[1]) {
				t.Errorf("the page names the reason %q, which does not exist", reason[1])
			}
		}
		first, rest, _ := strings.Cut(text, " ")
		if regexp.MustCompile(`^[a-z]+_[a-z]+$`).MatchString(first) && strings.HasPrefix(rest, "reason=") && !slices.Contains(kindNames[:], first) {
			t.Errorf("the page names the event %q, which does not exist", first)
		}
		if regexp.MustCompile(`^(logic|internal|cmd|deploy)/`).MatchString(text) {
			files++
			if _, err := os.Stat(filepath.Join(root, text)); err != nil {
				t.Errorf("the page names a file that does not exist: %v", err)
			}
		}
	}
	if files < 20 {
		t.Errorf("found only %d file names on the page, want at least 20: does the test still parse it correctly?", files)
	}
}
