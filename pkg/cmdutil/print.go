package cmdutil

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// PrintJSON writes a value as indented JSON.
func PrintJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table writes rows under headings, in aligned columns.
func Table(out io.Writer, headings []string, rows [][]string) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{headings}, rows...) {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(writer, "\t")
			}
			_, _ = fmt.Fprint(writer, cell)
		}
		_, _ = fmt.Fprintln(writer)
	}
	return writer.Flush()
}
