package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxFileLines     = 500
	maxFunctionLines = 60
	maxLineLength    = 110
)

// Each file is about one decision. Files, functions and lines stay short because operators read them at night.
func TestFilesStayShort(t *testing.T) {
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: got %d lines, want %d or fewer", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if n := utf8.RuneCountInString(line); n > maxLineLength {
				t.Errorf("%s:%d: got %d characters, want %d or fewer", name, i+1, n, maxLineLength)
			}
		}
		checkFunctionLengths(t, name, text)
	}
}

// checkFunctionLengths checks the number of lines of each function in a file.
func checkFunctionLengths(t *testing.T, name string, text []byte) {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, name, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, decl := range file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if !ok {
			continue
		}
		if lines := fileSet.Position(f.End()).Line - fileSet.Position(f.Pos()).Line + 1; lines > maxFunctionLines {
			t.Errorf("%s: function %s has %d lines, want %d or fewer", name, f.Name, lines, maxFunctionLines)
		}
	}
}

// The policy in the deploy file lists the files that make decisions: all files of this package except those of its interface
// and those that only report.
func TestPolicyNamesWhatDecides(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if match == nil {
		t.Fatal("../deploy/balancer.toml: got no policy, want a list of files")
	}
	var got []string
	for _, f := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(match[1], -1) {
		got = append(got, strings.TrimPrefix(string(f[1]), "balancer/"))
	}
	slices.Sort(got)
	want := slices.DeleteFunc(sourceFiles(t), func(name string) bool {
		return slices.Contains([]string{"actions.go", "events.go", "settings.go", "views.go"}, name)
	})
	if !slices.Equal(got, want) {
		t.Errorf("policy in ../deploy/balancer.toml: got files %v, want %v", got, want)
	}
}

// sourceFiles returns the names of the package's files without tests, sorted.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}
