package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
)

// sections are the generated parts of the pages, by the names in their marks.
var sections = []struct {
	name  string
	write func(w *bytes.Buffer, t *Table)
}{
	{"fleet", writeFleet}, {"load", writeLoad}, {"table", func(w *bytes.Buffer, t *Table) { writeRows(w, t.Rows) }},
	{"missing", writeMissing}, {"after", func(w *bytes.Buffer, t *Table) { writeRows(w, t.After) }}, {"slopes", writeSlopes}, {"checks", writeChecks},
	{"plays", writePlays}, // on another page
}

func beginMark(name string) string { return beginPrefix + " " + name + " -->" }

const (
	beginPrefix = "<!-- worked out:"
	endMark     = "<!-- end of what is worked out -->"
)

// Section returns the generated text of a section.
func (t *Table) Section(name string) (string, error) {
	for _, s := range sections {
		if s.name == name {
			var w bytes.Buffer
			s.write(&w, t)
			return w.String(), nil
		}
	}
	return "", fmt.Errorf("no section is called %q", name)
}

// Renew returns the page with its sections generated anew; the text between them stays.
func (t *Table) Renew(page string) (string, error) {
	if !strings.Contains(page, beginPrefix) {
		return "", fmt.Errorf("the page has no line %q, or another section's", beginMark(sections[0].name))
	}
	for _, s := range sections {
		mark := beginMark(s.name) + "\n"
		switch strings.Count(page, mark) {
		case 0:
			continue
		case 1:
		default:
			return "", fmt.Errorf("the page has more than one line %q", beginMark(s.name))
		}
		before, rest, _ := strings.Cut(page, mark)
		old, after, ok := strings.Cut(rest, endMark)
		if !ok || strings.Contains(old, beginPrefix) {
			return "", errors.New("the page has no " + endMark + " after " + beginMark(s.name))
		}
		text, err := t.Section(s.name)
		if err != nil {
			return "", err
		}
		page = before + mark + text + endMark + after
	}
	return page, nil
}

func writeFleet(w *bytes.Buffer, t *Table) {
	fmt.Fprint(w, "| figure | value | from |\n| --- | --- | --- |\n")
	for _, x := range t.Fleet.Figures() {
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", x.Name, formatNumber(x.Value), x.From)
	}
}

func writeLoad(w *bytes.Buffer, t *Table) {
	fmt.Fprint(w, "| what | value | | how |\n| --- | --- | --- | --- |\n")
	for _, q := range t.Load {
		fmt.Fprintf(w, "| `%s`: %s | %s | %s | %s |\n", q.Name, q.What, formatNumber(q.Value), q.Unit, strings.ReplaceAll(q.How, "_", "\\_"))
	}
}

func writeRows(w *bytes.Buffer, rows []Row) {
	if len(rows) == 0 {
		fmt.Fprint(w, "Not measured yet.\n")
		return
	}
	role := ""
	for _, r := range rows {
		if r.Role != role {
			if role != "" {
				fmt.Fprintln(w)
			}
			role = r.Role
			fmt.Fprintf(w, "**%s**\n\n| what | day | at this size | budget | budget over figure | measured | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n", capitalized(role))
		}
		var slopes []string
		for _, s := range r.Slopes {
			text := fmt.Sprintf("`%s.%s`", s.Measure, s.Series)
			if s.Beyond > 1.005 {
				text += fmt.Sprintf(", %s times beyond what was played", formatNumber(s.Beyond))
			}
			if s.Refuted > 0 {
				text += fmt.Sprintf(", **its prediction was refuted: what came is %s times it**", formatNumber(s.Refuted))
			}
			slopes = append(slopes, text)
		}
		measured := strings.Join(slopes, "; ")
		switch {
		case measured == "" && r.Figure == nil:
			measured = "not measured"
		case measured == "":
			measured = "the load"
		}
		budget := r.BudgetFrom
		if r.Budget > 0 {
			budget = fmt.Sprintf("%s (%s)", formatNumber(r.Budget), r.BudgetFrom)
		}
		what := r.What
		if r.Note != "" {
			what += " (" + r.Note + ")"
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s |\n", what, r.Day, r.figureText(), budget, r.leftText(), measured, r.mechanismText())
	}
}

func (r Row) figureText() string {
	switch {
	case r.Figure == nil:
		return "not measured"
	case r.Figure.Low == r.Figure.High:
		return formatNumber(r.Figure.Value) + " " + r.Unit
	}
	text := fmt.Sprintf("%s (%s to %s) %s", formatNumber(r.Figure.Value), formatNumber(r.Figure.Low), formatNumber(r.Figure.High), r.Unit)
	if n, unit := r.exchanges(); n > 0 {
		text += fmt.Sprintf("; %s bare exchanges %s", formatNumber(n), unit)
	}
	return text
}

func (r Row) leftText() string {
	switch {
	case r.Left() == 0:
		return "-"
	case r.Over():
		return "**" + formatNumber(r.Left()) + "**"
	}
	return formatNumber(r.Left())
}

func (r Row) mechanismText() string {
	if !r.Carried {
		return "**" + None + "**" + strings.TrimPrefix(r.Mechanism, None)
	}
	return r.Mechanism
}

func writeMissing(w *bytes.Buffer, t *Table) {
	fmt.Fprint(w, "| role | row | day | why | its day comes, a year | processes each time | both | figure over budget |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range t.Missing {
		over := "-"
		if c.Over > 0 {
			over = formatNumber(c.Over)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", c.Row.Role, c.Row.What, c.Row.Day, c.Why, formatNumber(c.PerYear), formatNumber(c.Touches), formatNumber(c.PerYear*c.Touches), over)
	}
}

func writeSlopes(w *bytes.Buffer, t *Table) {
	if len(t.Measures) == 0 {
		fmt.Fprint(w, "Not measured yet.\n")
		return
	}
	fmt.Fprint(w, "| measure | straight in | slope, 95% | unit | command | revision |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range t.Measures {
		fmt.Fprintf(w, "| `%s.%s` | %s | %s (%s to %s) | %s | `%s` | %s |\n", c.Measure, c.Series, strings.ReplaceAll(c.Form, "*", " x "), formatNumber(c.Slope.Value), formatNumber(c.Slope.Low), formatNumber(c.Slope.High), c.Unit, c.Command, c.Revision)
	}
}

func writeChecks(w *bytes.Buffer, t *Table) {
	if len(t.Measures) == 0 {
		fmt.Fprint(w, "Not measured yet.\n")
		return
	}
	fmt.Fprint(w, "| measure | size | predicted, 95% | came | came over predicted | within |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range t.Measures {
		measured, over, within := "not played", "-", "-"
		if c.Played {
			measured, within = formatNumber(c.Came), "no"
			if c.Says.Holds(c.Came) {
				within = "yes"
			}
			if c.Says.Value > 0 {
				over = formatNumber(c.Came / c.Says.Value)
			}
		}
		fmt.Fprintf(w, "| `%s.%s` | %s | %s (%s to %s) %s | %s | %s | %s |\n", c.Measure, c.Series, sizesText(c.Sizes), formatNumber(c.Says.Value), formatNumber(c.Says.Low), formatNumber(c.Says.High), c.Unit, measured, over, within)
	}
}

// writePlays writes the samples of each measure: its series at each size, in the order in which they were taken.
func writePlays(w *bytes.Buffer, t *Table) {
	for _, m := range t.measures {
		fmt.Fprintf(w, "**%s** (`%s`, revision %s, %s): %s %s.\n\n", capitalized(m.Name), m.Command, m.Revision, m.Machine, m.Question, capitalized(m.How))
		head, rule := "| size |", "| --- |"
		for _, s := range m.Series {
			head, rule = head+fmt.Sprintf(" %s, %s |", s.Name, s.Unit), rule+" --- |"
		}
		fmt.Fprintln(w, head+"\n"+rule)
		line := func(what string, sample Sample) {
			fmt.Fprintf(w, "| %s%s |", sizesText(sample.Sizes), what)
			for _, s := range m.Series {
				fmt.Fprintf(w, " %s |", formatNumber(sample.Got[s.Name]))
			}
			fmt.Fprintln(w)
		}
		for _, sample := range m.Samples {
			line("", sample)
		}
		for _, sample := range m.Checks {
			line(" (check)", sample)
		}
		fmt.Fprintln(w)
	}
}

func capitalized(s string) string { return strings.ToUpper(s[:1]) + s[1:] }

func sizesText(sizes map[string]float64) string {
	var parts []string
	for _, name := range sortedKeys(sizes) {
		parts = append(parts, formatNumber(sizes[name])+" "+name)
	}
	return strings.Join(parts, ", ")
}

// formatNumber formats x with three significant digits; integers are written in full below 1e9.
func formatNumber(x float64) string {
	switch abs := math.Abs(x); {
	case x == 0:
		return "0"
	case abs >= 1e9:
		return fmt.Sprintf("%.2e", x)
	case abs >= 100 || x == math.Trunc(x):
		return groupThousands(fmt.Sprintf("%.0f", x))
	case abs >= 10:
		return fmt.Sprintf("%.1f", x)
	case abs >= 1:
		return fmt.Sprintf("%.2f", x)
	case abs >= 0.0005:
		return fmt.Sprintf("%.3g", x)
	}
	return fmt.Sprintf("%.2g", x)
}

func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
