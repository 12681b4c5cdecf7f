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

// The decisions are read at night. Each file holds one of them and stays short, so do its functions and lines.
func TestFilesStayShort(t *testing.T) {
	for _, name := range sourceFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: %d lines, %d at most", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if n := utf8.RuneCountInString(line); n > maxLineLength {
				t.Errorf("%s:%d: %d characters, %d at most", name, i+1, n, maxLineLength)
			}
		}
		checkFunctionLengths(t, name, text)
	}
}

func checkFunctionLengths(t *testing.T, name string, text []byte) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, name, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, decl := range file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if !ok {
			continue
		}
		if n := set.Position(f.End()).Line - set.Position(f.Pos()).Line + 1; n > maxFunctionLines {
			t.Errorf("%s: %s has %d lines, %d at most", name, f.Name, n, maxFunctionLines)
		}
	}
}

// The deploy file names the files that decide: all of this package but its interface and what only reports.
func TestPolicyNamesWhatDecides(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if m == nil {
		t.Fatal("no policy in the deploy file")
	}
	var named []string
	for _, f := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(m[1], -1) {
		named = append(named, strings.TrimPrefix(string(f[1]), "balancer/"))
	}
	slices.Sort(named)
	want := slices.DeleteFunc(sourceFiles(t), func(name string) bool {
		return slices.Contains([]string{"actions.go", "events.go", "settings.go", "views.go"}, name)
	})
	if !slices.Equal(named, want) {
		t.Errorf("policy names %v, want %v", named, want)
	}
}

// sourceFiles are the package's files, without tests, sorted.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}
