package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"sigs.k8s.io/yaml"

	v1 "github.com/driftstage/driftstage/api/v1"
)

// The formats of --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

const (
	columnPadding = 2
	// none is printed in columns that have no value.
	none = "-"
)

// printTable prints rows in columns; the first row is the header.
func (application *application) printTable(rows [][]string) error {
	writer := tabwriter.NewWriter(application.output, 0, 0, columnPadding, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// printValue prints a value as JSON or YAML.
func (application *application) printValue(value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err == nil && application.outputFormat == formatYAML {
		text, err = yaml.JSONToYAML(text)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(application.output, strings.TrimRight(string(text), "\n"))
	return err
}

// printObjects prints resources in the selected format. With single, a single
// resource is printed without an enclosing list.
func (application *application) printObjects(objects []v1.QueryServiceObject, single bool) error {
	switch {
	case application.outputFormat == formatTable:
		rows := [][]string{objectHeader()}
		for index := range objects {
			rows = append(rows, objectRow(&objects[index]))
		}
		return application.printTable(rows)
	case single && len(objects) == 1:
		return application.printValue(objects[0])
	}
	list := resourceList{APIVersion: v1.APIVersion, Kind: kindList, Items: []json.RawMessage{}}
	for _, object := range objects {
		item, err := json.Marshal(object)
		if err != nil {
			return err
		}
		list.Items = append(list.Items, item)
	}
	return application.printValue(list)
}

func objectHeader() []string {
	return []string{"NAME", "GENERATION", "ACCEPTED", "REVISION", "INFORCE", "NODES", "SERVERS", "SHARDS"}
}

func objectRow(object *v1.QueryServiceObject) []string {
	status, err := object.DecodeStatus()
	if err != nil {
		return []string{object.Metadata.Name, fmt.Sprint(object.Metadata.Generation), "unreadable status"}
	}
	row := []string{object.Metadata.Name, fmt.Sprint(object.Metadata.Generation), acceptedText(object, &status)}
	if status.Accepted == nil {
		return append(row, none, none, none, none, none)
	}
	accepted := status.Accepted
	return append(row, revisionText(accepted.Revision), conditionText(&status, v1.ConditionInForce),
		fmt.Sprintf("%d/%d", status.Nodes.Applied, status.Nodes.Total),
		strconv.Itoa(len(accepted.Spec.Servers)), strconv.Itoa(len(accepted.Spec.Shards)))
}

// acceptedText returns the status of the Accepted condition, or the reason why it is
// not current.
func acceptedText(object *v1.QueryServiceObject, status *v1.QueryServiceStatus) string {
	switch {
	case object.Metadata.DeletionTimestamp != nil:
		return "Deleting"
	case status.ObservedGeneration != object.Metadata.Generation:
		return "Pending"
	default:
		return conditionText(status, v1.ConditionAccepted)
	}
}

func conditionText(status *v1.QueryServiceStatus, wanted v1.ConditionType) string {
	if condition := findCondition(status, wanted); condition != nil {
		return string(condition.Status)
	}
	return string(v1.ConditionUnknown)
}

func findCondition(status *v1.QueryServiceStatus, wanted v1.ConditionType) *v1.Condition {
	for index := range status.Conditions {
		if status.Conditions[index].Type == wanted {
			return &status.Conditions[index]
		}
	}
	return nil
}

// revisionText formats a revision as epoch and counter.
func revisionText(revision int64) string {
	return fmt.Sprintf("%d.%d", revision>>32, revision&0xffffffff)
}
