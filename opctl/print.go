package opctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"cherrykeel/fold"
	"cherrykeel/host"
	"cherrykeel/tree"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

func formatVersion(version int64) string {
	return strconv.FormatInt(version, 10)
}

func escapeQuery(text string) string {
	return url.QueryEscape(text)
}

// PrintJSON writes a value as indented JSON.
func PrintJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeTable(writer io.Writer, rows [][]string) {
	columns := tabwriter.NewWriter(writer, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	_ = columns.Flush()
}

func sortedKeys[V any](set map[string]V) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func formatPath(path string) string {
	if path == "" {
		return "(firm)"
	}
	return path
}

func formatValue(value any) string {
	if value == nil {
		return "-"
	}
	if list, isList := value.([]any); isList && len(list) > 3 {
		return fmt.Sprintf("(%d entries)", len(list))
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

// PrintPlan writes a plan as a table with one line per changed field.
func PrintPlan(writer io.Writer, plan Plan) {
	if len(plan.Edits) == 0 {
		_, _ = fmt.Fprintf(writer, "nothing to change; version %d is in force\n", plan.Version)
		return
	}
	_, _ = fmt.Fprintf(writer, "against version %d:\n", plan.Version)
	rows := [][]string{{"NODE", "FIELD", "BEFORE", "AFTER"}}
	for _, edit := range plan.Edits {
		rows = append(rows, fieldRows(edit.Path, edit.Before, edit.Fields)...)
	}
	writeTable(writer, rows)
}

func fieldRows(path string, before, after map[string]any) [][]string {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var rows [][]string
	for _, name := range sortedKeys(names) {
		old, updated := formatValue(before[name]), formatValue(after[name])
		if tree.EqualFields(map[string]any{"": before[name]}, map[string]any{"": after[name]}) {
			continue
		}
		rows = append(rows, []string{formatPath(path), name, old, updated})
	}
	return rows
}

// PrintHistory writes audit entries as a table, in the order given.
func PrintHistory(writer io.Writer, entries []fold.AuditEntry) {
	rows := [][]string{{"VERSION", "TIME", "AUTHOR", "NODE", "REASON", "CHANGED"}}
	for _, entry := range entries {
		var changed []string
		for _, row := range fieldRows(entry.Path, entry.Before, entry.After) {
			changed = append(changed, row[1]+": "+row[2]+" -> "+row[3])
		}
		rows = append(rows, []string{
			formatVersion(entry.Version), entry.Time.Format("2006-01-02 15:04:05"), entry.Author,
			formatPath(entry.Path), entry.Reason, strings.Join(changed, "; "),
		})
	}
	writeTable(writer, rows)
}

// PrintNode writes the fields of a node as a table with their values and the nodes that set them.
func PrintNode(writer io.Writer, sources []tree.Source) {
	rows := [][]string{{"FIELD", "VALUE", "SET BY"}}
	for _, source := range sources {
		rows = append(rows, []string{source.Field, formatValue(source.Value), formatSource(source)})
	}
	writeTable(writer, rows)
}

func formatSource(source tree.Source) string {
	if source.Default {
		return "(default)"
	}
	return formatPath(source.Path)
}

// PrintStatus writes a table of hosts and a table of keyed services. A service is shown as its keeper reports it, if the
// keeper is among the hosts.
func PrintStatus(writer io.Writer, statuses []HostStatus) {
	rows := [][]string{{"HOST", "ZONE", "READY", "VERSION", "OFFSET", "LOG", "IN FLIGHT", "DIFFERS FROM", "REASON"}}
	services := map[string]host.ServiceStatus{}
	for _, status := range statuses {
		if status.Status == nil {
			rows = append(rows, []string{status.Member.Name, status.Member.Zone, "no answer", "", "", "", "", "", status.Error})
			continue
		}
		rows = append(rows, hostRow(status))
		for _, service := range status.Status.Services {
			if service.Report != nil || services[service.Service].Service == "" {
				services[service.Service] = service
			}
		}
	}
	writeTable(writer, rows)
	if len(services) == 0 {
		return
	}
	_, _ = fmt.Fprintln(writer)
	rows = [][]string{{"SERVICE", "KEEPER", "TERM", "OWNERS", "HOT KEYS", "LOST", "PROMOTED"}}
	for _, path := range sortedKeys(services) {
		rows = append(rows, serviceRow(services[path]))
	}
	writeTable(writer, rows)
}

func hostRow(status HostStatus) []string {
	answer := status.Status
	log := "up"
	if !answer.LogUp {
		log = "out"
	}
	var differs []string
	for _, peer := range answer.Peers {
		if peer.Differs {
			differs = append(differs, peer.Name)
		}
	}
	return []string{
		answer.Name, answer.Zone, strconv.FormatBool(answer.Ready), formatVersion(answer.Version),
		formatVersion(answer.Next), log, formatVersion(answer.InFlight), strings.Join(differs, " "), answer.Reason,
	}
}

func serviceRow(service host.ServiceStatus) []string {
	var owners []string
	for _, owner := range sortedKeys(service.Owned) {
		owners = append(owners, fmt.Sprintf("%s:%d", owner, service.Owned[owner]))
	}
	lost, promoted := "", ""
	if service.Report != nil {
		lost = strings.Join(service.Report.Unavailable, " ")
		promoted = strconv.Itoa(service.Report.Promoted)
	}
	return []string{
		service.Service, service.Keeper, formatVersion(service.Term), strings.Join(owners, " "),
		strconv.Itoa(len(service.HotKeys)), lost, promoted,
	}
}
