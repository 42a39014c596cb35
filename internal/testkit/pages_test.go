package testkit

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pages are the pages whose files and identifiers are held to the code.
var pages = []string{
	"README.md", "DEVELOPERS.md",
	"docs/architecture.md", "docs/connections.md", "docs/decisions.md", "docs/emulator.md", "docs/experiments.md", "docs/fleet.md",
	"docs/glossary.md", "docs/oncall.md", "docs/operating.md", "docs/overload.md", "docs/promises.md", "docs/replication.md", "docs/soak.md",
}

// A page that names a file, a type or a test which was renamed sends its reader searching. Each path under logic, internal, cmd, deploy and
// docs that a page has in backticks must exist, and so must each exported name behind a package (`core.Call`) and each test.
func TestPagesNameFilesAndTypesThatExist(t *testing.T) {
	root := filepath.Join("..", "..")
	sources := packageSources(t, root)
	tests := testNames(t, root)
	isPath := regexp.MustCompile(`^(logic|internal|cmd|deploy|docs)/[\w./-]+$`)
	isName := regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*)(?:\.(\w+))?$`)
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, test := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(text), -1) {
			if !tests[test] {
				t.Errorf("%s names the test %s, which is not there", page, test)
			}
		}
		for _, match := range regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(string(text), -1) {
			quoted := match[1]
			if isPath.MatchString(quoted) {
				if _, err := os.Stat(filepath.Join(root, quoted)); err != nil {
					t.Errorf("%s names %s, which is not there", page, quoted)
				}
				continue
			}
			name := isName.FindStringSubmatch(quoted)
			if name == nil {
				continue
			}
			source, known := sources[name[1]]
			if !known {
				continue // a package of the standard library
			}
			for _, identifier := range name[2:] {
				if !regexp.MustCompile(`\b` + identifier + `\b`).MatchString(source) {
					t.Errorf("%s names %s, which package %s does not have", page, quoted, name[1])
				}
			}
		}
	}
}

// packageSources returns the text of each package of the module without tests, by the package's name.
func packageSources(t *testing.T, root string) map[string]string {
	t.Helper()
	sources := map[string]string{}
	for _, path := range goFiles(t, root) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		declaration := regexp.MustCompile(`(?m)^package (\w+)$`).FindSubmatch(text)
		if declaration == nil {
			t.Fatalf("%s has no package", path)
		}
		sources[string(declaration[1])] += strings.TrimSpace(string(text)) + "\n"
	}
	return sources
}

// testNames returns the names of all test functions of the module.
func testNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{"TestMain": true}
	for _, folder := range []string{"logic", "internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, declaration := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllSubmatch(text, -1) {
				names[string(declaration[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}
