package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/figstile/figstile/transport/admin"
)

// output prints results as tables for people or as JSON for programs.
type output struct {
	w    io.Writer
	json bool
}

// show prints v as JSON, or else calls table.
func (o *output) show(v any, writeText func()) error {
	if !o.json {
		writeText()
		return nil
	}
	encoder := json.NewEncoder(o.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints rows in columns.
func (o *output) printTable(header []string, rows [][]string) {
	tw := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// printWriteResult prints what a change did.
func (o *output) printWriteResult(done admin.WriteResult) error {
	return o.show(done, func() { fmt.Fprintln(o.w, writeResultLine(done)) })
}

func writeResultLine(done admin.WriteResult) string {
	switch {
	case done.DryRun:
		return fmt.Sprintf("%s: valid", done.Key)
	case done.Unchanged:
		return fmt.Sprintf("%s: unchanged at version %d", done.Key, done.Version)
	default:
		return fmt.Sprintf("%s: version %d, change %s", done.Key, done.Version, done.ChangeID)
	}
}

// formatCell renders a value for a table; empty ones become a dash, so that columns
// stay apart.
func formatCell(v any) string {
	var text string
	switch v := v.(type) {
	case time.Time:
		if !v.IsZero() {
			text = v.Format(time.RFC3339)
		}
	case bool:
		text = map[bool]string{true: "yes", false: "no"}[v]
	default:
		text = fmt.Sprint(v)
	}
	if text == "" {
		return "-"
	}
	return text
}

// joinNames renders names for one cell.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}

// formatRow renders a row.
func formatRow(values ...any) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = formatCell(v)
	}
	return row
}
