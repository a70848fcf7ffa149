// Package report renders the service-level burn report as a table and as a
// self-contained HTML page with plots. The counts and rates are computed in package
// burn.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	chart "github.com/wcharczuk/go-chart/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/burn"
)

// WriteTable writes the report as a text table.
func WriteTable(out io.Writer, rep burn.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header(rep), "\t"))
	for _, l := range rep.Lines {
		fmt.Fprintln(w, strings.Join(cells(l), "\t"))
	}
	for _, vm := range rep.Missing {
		fmt.Fprintf(w, "missing\t%s\n", vm)
	}
	return w.Flush()
}

func header(rep burn.Report) []string {
	head := []string{"BY", "NAME"}
	for _, s := range rep.Windows {
		head = append(head, "BURN "+shortDuration(time.Duration(s)*time.Second))
	}
	return append(head, "ANSWERS", "ALARM")
}

func shortDuration(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dm", int(d.Minutes()))
}

func cells(l burn.Line) []string {
	row := []string{string(l.By), l.Name}
	for _, r := range l.Rates {
		row = append(row, fmt.Sprintf("%.2f", r))
	}
	alarm := string(l.Alarm)
	if alarm == "" {
		alarm = "-"
	}
	return append(row, fmt.Sprint(l.Answers), alarm)
}

const (
	plotWidth  = 720
	plotHeight = 240
)

// plot draws a service's burn rate over the last hour as SVG.
func plot(s burn.Series) (template.HTML, error) {
	xs := make([]float64, len(s.Minutes))
	ys := make([]float64, len(s.Minutes))
	top := 2.0
	for i, c := range s.Minutes {
		xs[i] = float64(i - len(s.Minutes) + 1)
		ys[i] = c.Rate()
		top = max(top, ys[i]*1.1)
	}
	graph := chart.Chart{
		Width:  plotWidth,
		Height: plotHeight,
		XAxis:  chart.XAxis{Name: "minutes ago", ValueFormatter: formatMinutesAgo},
		YAxis:  chart.YAxis{Name: "burn rate", Range: &chart.ContinuousRange{Min: 0, Max: top}},
		// Without series of its own its range is empty, and its ticks have no position.
		YAxisSecondary: chart.HideYAxis(),
		Series:         []chart.Series{chart.ContinuousSeries{Name: s.Service, XValues: xs, YValues: ys}},
	}
	var svg bytes.Buffer
	if err := graph.Render(chart.SVG, &svg); err != nil {
		return "", errors.Wrapf(err, "plot %s", s.Service)
	}
	// The library's output contains only numbers and fixed labels.
	return template.HTML(svg.String()), nil
}

func formatMinutesAgo(v any) string {
	if f, ok := v.(float64); ok {
		return fmt.Sprintf("%.0f", -f)
	}
	return ""
}

var pageTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { padding: 0.2em 0.8em; text-align: right; border-bottom: 1px solid #ccc; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
tr.page { background: #f8c8c8; }
tr.ticket { background: #fbe9b7; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.At}}. Objective: {{.Objective}} of answers complete and on time. A burn rate of 1 uses up the error budget exactly.</p>
{{if .Missing}}<p>Not counted, because they did not answer: {{range .Missing}}{{.}} {{end}}</p>{{end}}
<table>
<tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr class="{{.Alarm}}">{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Service}}, last hour</h2>
{{.SVG}}
{{end}}</body>
</html>
`))

type pageRow struct {
	Alarm burn.Alarm
	Cells []string
}

type pagePlot struct {
	Service string
	SVG     template.HTML
}

type pageData struct {
	At        string
	Objective string
	Missing   []string
	Header    []string
	Rows      []pageRow
	Plots     []pagePlot
}

// WriteHTML writes the report as an HTML page without external resources.
func WriteHTML(out io.Writer, rep burn.Report) error {
	data := pageData{
		At:        rep.At.UTC().Format(time.RFC3339),
		Objective: fmt.Sprintf("%.1f%%", rep.Objective*100),
		Missing:   rep.Missing,
		Header:    header(rep),
	}
	for _, l := range rep.Lines {
		data.Rows = append(data.Rows, pageRow{Alarm: l.Alarm, Cells: cells(l)})
	}
	for _, s := range rep.Series {
		svg, err := plot(s)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, pagePlot{Service: s.Service, SVG: svg})
	}
	return errors.Wrap(pageTemplate.Execute(out, data), "write page")
}
