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

// output prints results as tables for operators or as JSON for programs.
type output struct {
	w    io.Writer
	json bool
}

// show prints v as JSON if the output format is JSON. Otherwise it calls
// writeText.
func (o *output) show(v any, writeText func()) error {
	if !o.json {
		writeText()
		return nil
	}
	encoder := json.NewEncoder(o.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints a header and rows in aligned columns.
func (o *output) printTable(header []string, rows [][]string) {
	tw := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// printWriteResult prints the result of a change.
func (o *output) printWriteResult(writeResult admin.WriteResult) error {
	return o.show(writeResult, func() { fmt.Fprintln(o.w, writeResultLine(writeResult)) })
}

func writeResultLine(writeResult admin.WriteResult) string {
	switch {
	case writeResult.DryRun:
		return fmt.Sprintf("%s: valid", writeResult.Key)
	case writeResult.Unchanged:
		return fmt.Sprintf("%s: unchanged at version %d", writeResult.Key, writeResult.Version)
	default:
		return fmt.Sprintf("%s: version %d, change %s", writeResult.Key, writeResult.Version, writeResult.ChangeID)
	}
}

// formatCell formats a value as a cell of a table. An empty value becomes a dash,
// so that adjacent columns stay distinguishable.
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

// joinNames joins names with commas to form one cell of a table.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}

// formatRow formats values as the cells of one row.
func formatRow(values ...any) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = formatCell(v)
	}
	return row
}
