package main

import (
	"bytes"
	"fmt"
	"strings"
)

const slopesHeader = `# Measured slopes

Written by ` + "`make slopes`" + `; don't edit. The real cores and the real encoded messages, with made-up content, on one
machine. Each quantity is measured at the sizes shown, and a line is fitted by least squares: base (the value at size
zero) plus slope times size. The residual is the root of the mean squared deviation from the line, as a share of the
largest value.

Bytes of messages are exact and the same in each run, but for HTTP's by a byte. Processor time is what the kernel counts for the process (getrusage), garbage
collection included, median of five samples of at least 20 ms; other work on the machine moves it by tens of percent
from run to run. Heap is live heap after two collections; it differs by a few percent.

| name | measured | slope | base | residual | sizes, largest really run last |
|---|---|---|---|---|---|
`

// renderSlopes returns the page of measurements.
func renderSlopes(list []*Slope) []byte {
	var b bytes.Buffer
	b.WriteString(slopesHeader)
	for _, s := range list {
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, formatGrouped(p.X))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s %s/%s | %s %s | %.1f %% | %s |\n",
			s.Name, s.What, formatShort(s.Slope), s.Unit, s.Per, formatShort(s.Base), s.Unit, s.Residual*100, strings.Join(sizes, "; "))
	}
	return b.Bytes()
}
