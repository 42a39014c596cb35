package testkit

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Each package, and each exported item outside test files, has a doc comment: without one, a reader of go doc has to read the callers.
// The linter only checks the form of existing doc comments. Exempt are methods with the well-known names of interfaces of the standard
// library.
func TestEveryExportedItemHasADocComment(t *testing.T) {
	root := filepath.Join("..", "..")
	packageDocs := map[string]bool{}
	for _, path := range goFiles(t, root) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		dir := filepath.Dir(path)
		packageDocs[dir] = packageDocs[dir] || file.Doc != nil
		for _, name := range undocumented(file) {
			t.Errorf("%s: %s has no doc comment", path, name)
		}
	}
	for dir, documented := range packageDocs {
		if !documented {
			t.Errorf("%s: the package has no doc comment", dir)
		}
	}
}

// goFiles returns the paths of the Go files under a folder, without test files.
func goFiles(t *testing.T, root string) (paths []string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			paths = append(paths, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

// undocumented returns the names of the exported items of a file that have no doc comment.
func undocumented(file *ast.File) (names []string) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && exportedReceiver(d) && !wellKnown(d) {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				names = append(names, undocumentedSpec(d, spec)...)
			}
		}
	}
	return names
}

// undocumentedSpec returns the names of the exported items of a spec that have a doc comment neither there nor on their group.
func undocumentedSpec(group *ast.GenDecl, spec ast.Spec) (names []string) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Name.IsExported() && group.Doc == nil && s.Doc == nil {
			names = append(names, s.Name.Name)
		}
	case *ast.ValueSpec:
		for _, name := range s.Names {
			if name.IsExported() && group.Doc == nil && s.Doc == nil && s.Comment == nil {
				names = append(names, name.Name)
			}
		}
	}
	return names
}

// exportedReceiver reports whether a function has no receiver or a receiver of an exported type.
func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return !ok || name.IsExported()
}

// wellKnown reports whether a method has the name of one that the packages sort, heap, errors or fmt call.
func wellKnown(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return false
	}
	switch d.Name.Name {
	case "Len", "Less", "Swap", "Push", "Pop", "Error", "Unwrap", "String":
		return true
	}
	return false
}
