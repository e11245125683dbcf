package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/agent"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/oplang"
)

// storeTimeout limits a query's reads from the store.
const storeTimeout = 2 * time.Second

// QueryRequest is the body of a query.
type QueryRequest struct {
	Text string `json:"text"`
}

func (o *operators) serveQuery(w http.ResponseWriter, r *http.Request) {
	var body QueryRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&body); err != nil {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "cannot read the query: %v", err))
		return
	}
	table, err := o.query(r.Context(), body.Text)
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, table)
}

// query answers from the state of this process; only slots, leases and the history are read from
// the store.
func (o *operators) query(ctx context.Context, text string) (oplang.Table, error) {
	query, err := oplang.ParseQuery(text)
	if err != nil {
		return oplang.Table{}, err
	}
	table, err := o.readSource(ctx, query.Source)
	if err != nil {
		return oplang.Table{}, err
	}
	return query.Apply(table)
}

// sources returns the tables that can be queried, by name.
func (o *operators) sources() map[string]func(context.Context) oplang.Table {
	sources := map[string]func(context.Context) oplang.Table{
		"members": func(context.Context) oplang.Table { return o.memberTable("") },
		"routers": func(context.Context) oplang.Table { return o.memberTable(member.RoleRouter) },
		"agents":  func(context.Context) oplang.Table { return o.memberTable(member.RoleAgent) },
		"targets": func(context.Context) oplang.Table { return o.targetTable() },
		"load":    func(context.Context) oplang.Table { return o.loadTable() },
		"slots":   o.slotTable,
		"leases":  o.leaseTable,
		"history": o.historyTable,
	}
	for _, kind := range []string{config.KindWorkspace, config.KindModel, config.KindService, config.KindRoute, config.KindMark, config.KindPlacement} {
		sources[kind+"s"] = func(context.Context) oplang.Table { return o.documentTable(kind) }
	}
	return sources
}

func (o *operators) readSource(ctx context.Context, name string) (oplang.Table, error) {
	sources := o.sources()
	readTable, ok := sources[name]
	if !ok {
		names := make([]string, 0, len(sources))
		for source := range sources {
			names = append(names, source)
		}
		slices.Sort(names)
		return oplang.Table{}, fault.New(fault.BadRequest, fault.NotRun, "unknown query source %q; available sources: %s", name, strings.Join(names, ", "))
	}
	return readTable(ctx), nil
}

// documentTable lists the documents of a kind. They are the configuration that this process uses,
// so they are as current as its revision.
func (o *operators) documentTable(kind string) oplang.Table {
	table := oplang.Table{Columns: []string{"name", "value", "revision", "said_by"}}
	for _, document := range o.node.Config.Documents() {
		name, ok := strings.CutPrefix(document.Name, kind+"/")
		if !ok {
			continue
		}
		value := string(document.Value)
		if kind == config.KindWorkspace {
			value = redactKeyHashes(document.Value)
		}
		table.Rows = append(table.Rows, []string{name, value, fmt.Sprint(document.Revision), o.settings.ID})
	}
	return table
}

// redactKeyHashes replaces a workspace's key hashes by the number of keys.
func redactKeyHashes(value json.RawMessage) string {
	fields := make(map[string]any)
	if json.Unmarshal(value, &fields) != nil {
		return ""
	}
	if hashes, ok := fields["key_hashes"].([]any); ok {
		fields["key_hashes"] = fmt.Sprintf("%d keys", len(hashes))
	}
	redacted, _ := json.Marshal(fields)
	return string(redacted)
}

func (o *operators) memberTable(role string) oplang.Table {
	table := oplang.Table{Columns: []string{"id", "role", "data_center", "standing", "leaving", "steady", "config_revision", "said_by"}}
	for _, peer := range o.node.Members.Peers() {
		if role != "" && peer.Role != role {
			continue
		}
		row := memberRow(peer)
		revision := "not heard"
		if peer.ConfigRevision > 0 {
			revision = fmt.Sprint(peer.ConfigRevision)
		}
		if peer.ID == o.settings.ID {
			revision = fmt.Sprint(o.node.Config.Revision())
		}
		table.Rows = append(table.Rows, []string{row.ID, row.Role, row.DataCenter, row.Standing, fmt.Sprint(row.Leaving), fmt.Sprint(row.Steady), revision, o.settings.ID})
	}
	return table
}

// targetTable lists targets with the age of their load reports.
func (o *operators) targetTable() oplang.Table {
	table := oplang.Table{Columns: []string{"id", "pool", "agent", "data_center", "leaving", "in_flight", "limit", "age_ms", "said_by"}}
	for _, peer := range o.node.Members.Peers() {
		row := memberRow(peer)
		for _, target := range row.Targets {
			table.Rows = append(table.Rows, []string{
				target.ID, target.Pool, row.ID, row.DataCenter, fmt.Sprint(target.Leaving),
				fmt.Sprint(target.InFlight), fmt.Sprint(target.Limit), fmt.Sprint(row.LoadAgeMS), row.ID,
			})
		}
	}
	return table
}

func (o *operators) loadTable() oplang.Table {
	table := oplang.Table{Columns: []string{"pool", "mean_in_flight", "said_by"}}
	for pool, mean := range o.node.Members.MeanLoads() {
		table.Rows = append(table.Rows, []string{pool, fmt.Sprintf("%.2f", mean), o.settings.ID})
	}
	slices.SortFunc(table.Rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return table
}

// slotTable reads the slot tables from the store.
func (o *operators) slotTable(ctx context.Context) oplang.Table {
	table := oplang.Table{Columns: []string{"service", "slot", "owner", "witness", "epoch", "said_by"}}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for name := range o.node.Config.View().Services {
		value, err := o.store.Get(ctx, agent.TableKey(name))
		if err != nil {
			table.Missing = append(table.Missing, fmt.Sprintf("slots of %s: %v", name, err))
			continue
		}
		slots, err := once.ParseTable(value.Data, value.Version)
		if err != nil {
			table.Missing = append(table.Missing, fmt.Sprintf("slots of %s: %v", name, err))
			continue
		}
		for number, slot := range slots.Slots {
			table.Rows = append(table.Rows, []string{name, fmt.Sprint(number), slot.Owner.Agent, slot.Witness.Agent, fmt.Sprint(slot.Epoch), "store"})
		}
	}
	return table
}

// leaseTable reads from the store the long leases of the agents that this process knows.
func (o *operators) leaseTable(ctx context.Context) oplang.Table {
	table := oplang.Table{Columns: []string{"agent", "until", "said_by"}}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, peer := range o.node.Members.Peers() {
		if !slices.ContainsFunc(peer.Targets, func(t member.Target) bool { return t.Service }) {
			continue
		}
		value, err := o.store.Get(ctx, agent.LeaseKey(peer.ID))
		if err != nil {
			table.Missing = append(table.Missing, fmt.Sprintf("lease of %s: %v", peer.ID, err))
			continue
		}
		var lease once.LongLease
		if json.Unmarshal(value.Data, &lease) == nil {
			table.Rows = append(table.Rows, []string{peer.ID, time.UnixMilli(lease.UntilMS).UTC().Format(time.RFC3339), "store"})
		}
	}
	return table
}

func (o *operators) historyTable(ctx context.Context) oplang.Table {
	table := oplang.Table{Columns: []string{"revision", "at", "who", "changed", "command", "said_by"}}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	history, err := config.NewEditor(o.store, o.node.Config).History(ctx)
	if err != nil {
		table.Missing = append(table.Missing, fmt.Sprintf("history: %v", err))
	}
	for _, entry := range history {
		table.Rows = append(table.Rows, []string{
			fmt.Sprint(entry.Revision), entry.At.Format(time.RFC3339), entry.Operator,
			strings.Join(entry.Names, " "), entry.ID, "store",
		})
	}
	return table
}
