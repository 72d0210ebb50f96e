package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
)

// values maps the names in formulas (sizes, settings, slopes and named rows) to numbers.
type values map[string]float64

// newValues returns the assumptions, the slopes and the named rows that are computed from
// them.
func newValues(list []*Slope) (values, error) {
	v := values{}
	for _, a := range assumptions {
		v[a.name] = a.value
	}
	for _, s := range list {
		v[s.Name] = s.Slope
		// A negative base is an error of the fit, since no cost is negative.
		v[s.Name+baseSuffix] = max(0, s.Base)
	}
	return v, v.addRows()
}

// addRows evaluates the named rows in the order of the page, since later formulas refer to
// earlier rows.
func (v values) addRows() error {
	for _, rows := range [][]row{agentRows, entryRows, followerRows, leaderRows, operatorRows, timeRows, mechanismRows} {
		for _, r := range rows {
			n, err := v.evaluate(r.formula)
			if err != nil {
				return err
			}
			if r.name != "" {
				v[r.name] = n
			}
		}
	}
	return nil
}

// evaluate returns the value of a formula of names, numbers, + - * / and parentheses.
func (v values) evaluate(formula string) (float64, error) {
	e, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, errors.Wrapf(err, "formula %q", formula)
	}
	n, err := v.evaluateNode(e)
	return n, errors.Wrapf(err, "formula %q", formula)
}

func (v values) evaluateNode(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.ParenExpr:
		return v.evaluateNode(e.X)
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.Ident:
		n, ok := v[e.Name]
		if !ok {
			return 0, errors.Newf("undefined name %s", e.Name)
		}
		return n, nil
	case *ast.BinaryExpr:
		return v.evaluateBinary(e)
	}
	return 0, errors.New("unsupported expression: only names, numbers, + - * / and parentheses are allowed")
}

func (v values) evaluateBinary(e *ast.BinaryExpr) (float64, error) {
	x, err := v.evaluateNode(e.X)
	if err != nil {
		return 0, err
	}
	y, err := v.evaluateNode(e.Y)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	}
	return 0, errors.Newf("unsupported operator %s", e.Op)
}

var identifier = regexp.MustCompile(`[A-Za-z][A-Za-z0-9_]*`)

// substitute returns the formula with its names replaced by rounded numbers, so that a reader
// can check the result.
func (v values) substitute(formula string) string {
	return identifier.ReplaceAllStringFunc(formula, func(name string) string {
		return formatShort(v[name])
	})
}

// formatShort formats a number for the tables: from 1000 on as an integer, below with four
// significant digits, and below 1 with three.
func formatShort(n float64) string {
	switch {
	case n < 0:
		return "-" + formatShort(-n)
	case n >= 1000 || n == float64(int64(n)):
		return strconv.FormatFloat(n, 'f', 0, 64)
	case n >= 100:
		return strconv.FormatFloat(n, 'f', 1, 64)
	case n >= 10:
		return strconv.FormatFloat(n, 'f', 2, 64)
	case n >= 1:
		return strconv.FormatFloat(n, 'f', 3, 64)
	}
	return strconv.FormatFloat(n, 'g', 3, 64)
}
