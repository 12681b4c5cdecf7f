package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"mosslead/internal/lab/verdict"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"figure": func(x float64) string { return fmt.Sprintf("%.4g", x) },
	"seconds": func(x float64) string {
		return fmt.Sprintf("%.2f s", x)
	},
}).Parse(pageText))

// pageData is the data of the page's template.
type pageData struct {
	*Result
	Rules   []pageRule
	Figures []pageFigure
	Charts  []pageChart
	Firsts  []*Play
	Held    bool
	Doubts  []string
}

type pageChart struct {
	SVG  template.HTML
	Keys []legendKey
}

// pageRule is a row of the table of verdicts: a count for each variant.
type pageRule struct {
	Name, Says string
	Counts     []int
	Shows      string
}

type pageFigure struct {
	Name, Says string
	Cells      []pageCell
}

type pageCell struct {
	Summary
	Has bool
}

// Page writes the result as one self-contained HTML page.
func (r *Result) Page(w io.Writer) error {
	d := pageData{Result: r, Firsts: r.firstPlays(), Held: r.Held()}
	for _, c := range r.charts() {
		svg, err := c.svg(seriesStep.Seconds())
		if err != nil {
			return err
		}
		d.Charts = append(d.Charts, pageChart{svg, c.keys()})
	}
	for _, rule := range verdict.All {
		row := pageRule{Name: rule.Name, Says: rule.Says}
		for _, v := range r.Variants {
			n := 0
			for _, p := range r.Plays {
				if p.Variant != v {
					continue
				}
				n += p.Counts[rule.Name]
				for _, x := range p.Violations {
					if x.Rule == rule.Name && row.Shows == "" {
						row.Shows = fmt.Sprintf("%s, seed %d, at %.2f s: %s %s %s", v, p.Seed, x.At.Seconds(), x.Party, x.Request, x.Text)
					}
				}
			}
			row.Counts = append(row.Counts, n)
		}
		d.Rules = append(d.Rules, row)
	}
	for _, name := range Names {
		row := pageFigure{Name: name[0], Says: name[1]}
		any := false
		for _, v := range r.Variants {
			s, ok := r.Medians[v][name[0]]
			row.Cells = append(row.Cells, pageCell{s, ok})
			any = any || ok
		}
		if any {
			d.Figures = append(d.Figures, row)
		}
	}
	for _, p := range r.Plays {
		for _, doubt := range p.Doubts {
			d.Doubts = append(d.Doubts, fmt.Sprintf("%s, seed %d, play %d: %s", p.Variant, p.Seed, p.Repeat+1, doubt))
		}
		for _, note := range p.Notes {
			d.Doubts = append(d.Doubts, fmt.Sprintf("%s, seed %d, play %d: %s", p.Variant, p.Seed, p.Repeat+1, note))
		}
	}
	return pageTemplate.Execute(w, d)
}
