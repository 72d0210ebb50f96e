package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"strconv"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

//go:embed capacity.md.tmpl
var capacityTemplate string

// renderCapacity returns the capacity page: the template with its tables and results filled in.
func renderCapacity(list []*Slope) ([]byte, error) {
	v, err := newValues(list)
	if err != nil {
		return nil, err
	}
	t, err := template.New("capacity").Funcs(template.FuncMap{
		"rows":        v.renderTable,
		"assumptions": renderAssumptions,
		"result":      v.formatResult,
	}).Parse(capacityTemplate)
	if err != nil {
		return nil, errors.Wrap(err, "parse capacity template")
	}
	var b bytes.Buffer
	if err := t.Execute(&b, nil); err != nil {
		return nil, errors.Wrap(err, "render capacity page")
	}
	return b.Bytes(), nil
}

// renderTable returns the table of one section.
func (v values) renderTable(section string) (string, error) {
	rows, ok := sections[section]
	if !ok {
		return "", errors.Newf("unknown section %q", section)
	}
	var b strings.Builder
	b.WriteString("| flow | formula | with numbers | result | bound | margin | mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		n, err := v.evaluate(r.formula)
		if err != nil {
			return "", err
		}
		flow := r.flow
		if r.name != "" {
			flow += " (`" + r.name + "`)"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s | %s | %s |\n", flow, r.formula,
			strings.ReplaceAll(v.substitute(r.formula), "*", "×"), r.unit.format(n), r.formatBound(), r.formatMargin(n), r.note)
	}
	return strings.TrimSuffix(b.String(), "\n"), nil
}

// formatResult returns the formatted result of a named row, for use in a sentence.
func (v values) formatResult(name string) (string, error) {
	for _, rows := range sections {
		for _, r := range rows {
			if r.name == name {
				return r.unit.format(v[name]), nil
			}
		}
	}
	return "", errors.Newf("unknown row %q", name)
}

func (r row) formatBound() string {
	if r.limit() < 0 {
		return ""
	}
	text := r.unit.format(r.limit())
	if r.lowerBound {
		return "at least " + text
	}
	return text
}

// formatMargin describes the distance between a result and its bound.
func (r row) formatMargin(n float64) string {
	limit := r.limit()
	switch {
	case limit < 0:
		return ""
	case r.lowerBound && n >= limit:
		return fmt.Sprintf("holds, %.0f %% more", 100*(n/limit-1))
	case r.lowerBound:
		return fmt.Sprintf("**misses, %s too few**", formatFactor(limit/n))
	case n <= limit:
		return fmt.Sprintf("holds, %.0f %% left", 100*(1-n/limit))
	}
	return fmt.Sprintf("**misses, %s**", formatFactor(n/limit))
}

func formatFactor(f float64) string {
	if f < 10 {
		return fmt.Sprintf("%.1f times", f)
	}
	return fmt.Sprintf("%.0f times", f)
}

func (u unit) format(n float64) string {
	switch u {
	case bytesPerSecond:
		return formatBytes(n) + "/s"
	case coreUsage:
		return fmt.Sprintf("%.2g %% of a core", n/1e7)
	case memory:
		return fmt.Sprintf("%.0f MB", n/1e6)
	case seconds:
		return formatShort(n) + " s"
	case bytesTotal:
		return formatBytes(n)
	case perSecond:
		return formatGrouped(n) + "/s"
	}
	return formatGrouped(n)
}

func formatBytes(n float64) string {
	switch {
	case n >= 1e6:
		return formatShort(n/1e6) + " MB"
	case n >= 1e3:
		return formatShort(n/1e3) + " KB"
	}
	return formatShort(n) + " B"
}

// formatGrouped formats a number with commas between groups of thousands.
func formatGrouped(n float64) string {
	if n < 10 {
		return formatShort(n)
	}
	s := strconv.FormatFloat(n, 'f', 0, 64)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func renderAssumptions() string {
	var b strings.Builder
	b.WriteString("| name | value | source |\n|---|---|---|\n")
	for _, a := range assumptions {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", a.name, formatShort(a.value), a.source)
	}
	return strings.TrimSuffix(b.String(), "\n")
}
