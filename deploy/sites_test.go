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

// customerNames are all names in the sites of the two customers whose site files are not in this repository. The names in the other
// sites are read from the files in this folder.
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

// namesOf returns all names in the file of a site: of the site itself, and of its zones, tiers, kinds of machine, classes and tenants.
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

// findNames searches the Go sources other than tests, and deploy/balancer.toml, for the names as whole words. Letter case does not matter,
// and a hyphen in a name also matches an underscore, a blank or nothing. It returns the places as path:line: word.
func findNames(fsys fs.FS, names []string) ([]string, error) {
	patterns := make([]string, len(names))
	for i, name := range names {
		patterns[i] = strings.ReplaceAll(regexp.QuoteMeta(name), "-", "[-_ ]?")
	}
	pattern, err := regexp.Compile(`(?i)(?:^|[^a-z0-9])(` + strings.Join(patterns, "|") + `)(?:$|[^a-z0-9])`)
	if err != nil {
		return nil, err
	}
	var found []string
	err = fs.WalkDir(fsys, ".", func(path string, d fs.DirEntry, err error) error {
		isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		switch {
		case err != nil:
			return err
		case d.IsDir() && d.Name() == ".git":
			return fs.SkipDir
		case d.IsDir() || !isSource && path != "deploy/balancer.toml":
			return nil
		}
		text, err := fs.ReadFile(fsys, path)
		if err != nil {
			return err
		}
		for i, line := range strings.Split(string(text), "\n") {
			if m := pattern.FindStringSubmatch(line); m != nil {
				found = append(found, fmt.Sprintf("%s:%d: %s", path, i+1, m[1]))
			}
		}
		return nil
	})
	return found, err
}

// Guards against names of a site's classes, tenants, zones or kinds of machine in the sources: they have to come from the settings.
func TestNoSourceNamesASite(t *testing.T) {
	files, err := filepath.Glob("sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("sites/*.toml: got %v, error %v; want two files or more", files, err)
	}
	names := customerNames
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		siteNames, err := namesOf(text)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		names = append(names, siteNames...)
	}
	found, err := findNames(os.DirFS(".."), names)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Errorf("got the name of a site at %s, want none in the sources", f)
	}
}

// findNames finds names in each spelling and in each folder, and nothing else.
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
		t.Fatalf("namesOf: got %q, error %v; want %q", names, err, want)
	}
	if _, err := namesOf([]byte(`name = "empty"`)); err == nil {
		t.Error("namesOf of a site without classes: got no error, want one")
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
		t.Errorf("findNames: got %q, error %v; want %q", found, err, want)
	}
}
