package oplang

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Table is the result of a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Missing lists the sources that could not be asked, with the reason.
	Missing []string `json:"missing,omitempty"`
}

// Apply filters, sorts and limits the rows, and selects the columns that the query names.
func (q *Query) Apply(table Table) (Table, error) {
	for _, condition := range q.Where {
		column, err := table.columnIndex(condition.Column)
		if err != nil {
			return Table{}, err
		}
		table.Rows = slices.DeleteFunc(table.Rows, func(row []string) bool { return !condition.matches(row[column]) })
	}
	if q.Sort != nil {
		if err := table.sort(q.Sort); err != nil {
			return Table{}, err
		}
	}
	if q.Limit != nil {
		table.Rows = table.Rows[:min(*q.Limit, len(table.Rows))]
	}
	return table.selectColumns(q.Show)
}

func (t *Table) columnIndex(name string) (int, error) {
	index := slices.Index(t.Columns, name)
	if index < 0 {
		return 0, fault.New(fault.BadRequest, fault.NotRun, "unknown column %q; known columns are %s", name, strings.Join(t.Columns, ", "))
	}
	return index, nil
}

// compare orders two cells, numerically if both are numbers.
func compare(a, b string) int {
	left, errLeft := strconv.ParseFloat(a, 64)
	right, errRight := strconv.ParseFloat(b, 64)
	if errLeft == nil && errRight == nil {
		return cmp.Compare(left, right)
	}
	return cmp.Compare(a, b)
}

func (c *Condition) matches(cell string) bool {
	order := compare(cell, c.Value)
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	}
	return strings.Contains(cell, c.Value)
}

func (t *Table) sort(by *Sort) error {
	column, err := t.columnIndex(by.Column)
	if err != nil {
		return err
	}
	slices.SortStableFunc(t.Rows, func(a, b []string) int {
		order := compare(a[column], b[column])
		if by.Descending {
			return -order
		}
		return order
	})
	return nil
}

func (t *Table) selectColumns(names []string) (Table, error) {
	if len(names) == 0 {
		return *t, nil
	}
	chosen := Table{Columns: names, Missing: t.Missing, Rows: make([][]string, len(t.Rows))}
	for _, name := range names {
		column, err := t.columnIndex(name)
		if err != nil {
			return Table{}, err
		}
		for i, row := range t.Rows {
			chosen.Rows[i] = append(chosen.Rows[i], row[column])
		}
	}
	return chosen, nil
}
