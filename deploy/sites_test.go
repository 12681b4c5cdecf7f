package deploy_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/pelletier/go-toml/v2"
)

// Of the two customers whose sites are given from outside, the names stand here; those of the sites in this folder are read.
var customerNames = []string{
	"manila-orders", "order-api",
	"makati", "cebu", "davao", "iloilo", "std-4", "small-3",
	"plan-read", "charge-ship",
	"bukid-beans", "kapeng-lipa", "sagada-roast", "mindanao-brew",

	"midlands-fares", "fare-servers",
	"nottingham", "derby", "leicester", "standard-3core",
	"card-check", "journey-lookup", "fare-charge",
	"trent-buses", "city-trams", "derby-road", "soar-valley", "peak-link", "erewash-coaches", "charnwood-bus", "vale-rider", "wolds-community",
}

type namedItem struct{ Name string }

type site struct {
	Name string
	Net  struct{ Zones []string }
	Tier []struct {
		Name string
		Kind []namedItem
	}
	Class, Tenant []namedItem
}

// namesOf lists all that a site has given a name: itself, tiers, zones, kinds of machine, classes and tenants.
func namesOf(text []byte) ([]string, error) {
	var s site
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	names := append([]string{s.Name}, s.Net.Zones...)
	groups := [][]namedItem{s.Class, s.Tenant}
	for _, tier := range s.Tier {
		names = append(names, tier.Name)
		groups = append(groups, tier.Kind)
	}
	for _, group := range groups {
		if len(group) == 0 {
			return nil, fmt.Errorf("site %s has no class, no tenant or a tier without kinds", s.Name)
		}
		for _, n := range group {
			names = append(names, n.Name)
		}
	}
	if len(s.Net.Zones) == 0 || len(s.Tier) == 0 || slices.Contains(names, "") {
		return nil, fmt.Errorf("site %s has no zones, no tiers or something without a name", s.Name)
	}
	return names, nil
}

// findNames walks the Go sources that are no tests, and the deploy file, and says where one of the names stands as a whole word,
// in any letter case, its parts joined by a hyphen, an underscore, a blank or nothing.
func findNames(fsys fs.FS, names []string) ([]string, error) {
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = strings.ReplaceAll(regexp.QuoteMeta(name), "-", "[-_ ]?")
	}
	word, err := regexp.Compile(`(?i)(?:^|[^a-z0-9])(` + strings.Join(words, "|") + `)(?:$|[^a-z0-9])`)
	if err != nil {
		return nil, err
	}
	var found []string
	err = fs.WalkDir(fsys, ".", func(path string, d fs.DirEntry, err error) error {
		source := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		switch {
		case err != nil:
			return err
		case d.IsDir() && d.Name() == ".git":
			return fs.SkipDir
		case d.IsDir() || !source && path != "deploy/balancer.toml":
			return nil
		}
		text, err := fs.ReadFile(fsys, path)
		if err != nil {
			return err
		}
		for i, line := range strings.Split(string(text), "\n") {
			if m := word.FindStringSubmatch(line); m != nil {
				found = append(found, fmt.Sprintf("%s:%d: %s", path, i+1, m[1]))
			}
		}
		return nil
	})
	return found, err
}

// Classes, tenants, zones and kinds come from the settings alone: no source knows those of any site.
func TestNoSourceNamesASite(t *testing.T) {
	files, err := filepath.Glob("sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("sites here: %v, %v; two are wanted", files, err)
	}
	names := customerNames
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		of, err := namesOf(text)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		names = append(names, of...)
	}
	found, err := findNames(os.DirFS(".."), names)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Error(f)
	}
}

// The walk finds what is planted, whatever its letter case and wherever it stands, and nothing else.
func TestAPlantedNameIsFound(t *testing.T) {
	text := `name = "coast-bakery"
net.zones = ["quayside"]
[[tier]]
name = "oven-api"
[[tier.kind]]
name = "rack-2"
[[class]]
name = "loaf-order"
[[tenant]]
name = "mill-lane"
`
	names, err := namesOf([]byte(text))
	if want := []string{"coast-bakery", "quayside", "oven-api", "loaf-order", "mill-lane", "rack-2"}; err != nil || !slices.Equal(names, want) {
		t.Fatalf("names %q, %v; want %q", names, err, want)
	}
	if _, err := namesOf([]byte(`name = "empty"`)); err == nil {
		t.Error("a site without classes has names")
	}
	file := func(text string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(text)} }
	found, err := findNames(fstest.MapFS{
		"balancer/a.go":          file("package balancer\n\n// no loaf, no order, no quaysides, no track-2\nvar a = \"Loaf-Order\"\n"),
		"internal/b/b.go":        file("package b\n\nfunc init() { loafOrder(); b() }\n"),
		"internal/b/c.go":        file("package b // quayside"),
		"internal/b/d.go":        file("var at_QUAYSIDE_ = 1\n"),
		"internal/b/d_test.go":   file("package b // quayside, mill-lane"),
		"deploy/balancer.toml":   file("run = \"exec bin/x --tenant=mill-lane\"\n"),
		"deploy/sites/some.toml": file(text),
		"README.md":              file("At the Quayside."),
		".git/e.go":              file("package e // quayside"),
	}, names)
	want := []string{"balancer/a.go:4: Loaf-Order", "deploy/balancer.toml:1: mill-lane", "internal/b/b.go:3: loafOrder",
		"internal/b/c.go:1: quayside", "internal/b/d.go:1: QUAYSIDE"}
	if err != nil || !slices.Equal(found, want) {
		t.Errorf("found %q, %v; want %q", found, err, want)
	}
}
