package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	v1 "github.com/driftstage/driftstage/api/v1"
)

func (application *application) getCommand() *ff.Command {
	return &ff.Command{
		Name:      "get",
		Usage:     "driftctl get [NAME...] [FLAGS]",
		ShortHelp: "print resources; all of them without a name",
		Flags:     application.newFlags("get"),
		Exec: func(ctx context.Context, names []string) error {
			objects, err := application.getObjects(ctx, names)
			if err != nil {
				return err
			}
			return application.printObjects(objects, len(names) == 1)
		},
	}
}

func (application *application) getObjects(ctx context.Context, names []string) ([]v1.QueryServiceObject, error) {
	client := application.client()
	defer client.Close()
	if len(names) == 0 {
		listed, err := client.QueryServiceObjects.List(ctx)
		if err != nil {
			return nil, err
		}
		return listed.Items, nil
	}
	var objects []v1.QueryServiceObject
	for _, name := range names {
		object, err := client.QueryServiceObjects.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		objects = append(objects, *object)
	}
	return objects, nil
}

func (application *application) describeCommand() *ff.Command {
	return &ff.Command{
		Name:      "describe",
		Usage:     "driftctl describe NAME [FLAGS]",
		ShortHelp: "describe the state of one resource",
		Flags:     application.newFlags("describe"),
		Exec: func(ctx context.Context, names []string) error {
			if len(names) != 1 {
				return fail(exitUsage, "describe takes one name, got %q", names)
			}
			objects, err := application.getObjects(ctx, names)
			if err != nil {
				return err
			}
			if application.outputFormat != formatTable {
				return application.printObjects(objects, true)
			}
			return application.describe(&objects[0])
		},
	}
}

func (application *application) describe(object *v1.QueryServiceObject) error {
	status, err := object.DecodeStatus()
	if err != nil {
		return fail(exitFailure, "%s: its status cannot be decoded: %v", object.Metadata.Name, err)
	}
	rows := [][]string{
		{"Name:", object.Metadata.Name},
		{"Version:", fmt.Sprintf("%s, generation %d", object.Metadata.ResourceVersion, object.Metadata.Generation)},
		{"Judged:", fmt.Sprintf("generation %d", status.ObservedGeneration)},
	}
	if object.Metadata.DeletionTimestamp != nil {
		rows = append(rows, []string{"Deleting since:", object.Metadata.DeletionTimestamp.Format(time.RFC3339)})
	}
	for _, condition := range status.Conditions {
		rows = append(rows, []string{string(condition.Type) + ":", conditionSentence(&condition)})
	}
	rows = append(rows, acceptedRows(&status)...)
	return application.printTable(rows)
}

func conditionSentence(condition *v1.Condition) string {
	sentence := fmt.Sprintf("%s (%s) since %s, generation %d", condition.Status, condition.Reason,
		condition.LastTransitionTime.Format(time.RFC3339), condition.ObservedGeneration)
	if condition.Message != "" {
		sentence += ": " + condition.Message
	}
	return sentence
}

func acceptedRows(status *v1.QueryServiceStatus) [][]string {
	if status.Accepted == nil {
		return [][]string{{"In force:", "nothing accepted yet"}}
	}
	accepted := status.Accepted
	spec := &accepted.Spec
	rows := [][]string{
		{"In force:", fmt.Sprintf("generation %d as revision %s", accepted.Generation, revisionText(accepted.Revision))},
		{"Nodes:", fmt.Sprintf("%d of %d", status.Nodes.Applied, status.Nodes.Total)},
		{"Servers:", fmt.Sprint(len(spec.Servers))},
		{"Shards:", fmt.Sprint(len(spec.Shards))},
		{"Coverage:", fmt.Sprintf("at least %v, %v is enough after %v", spec.Coverage.Minimum, spec.Coverage.Target, time.Duration(spec.Deadlines.AnswerAfter))},
		{"Deadlines:", fmt.Sprintf("%v unless asked otherwise, at most %v", time.Duration(spec.Deadlines.Default), time.Duration(spec.Deadlines.Maximum))},
	}
	if len(status.Nodes.Lagging) > 0 {
		rows = append(rows, []string{"Lagging:", strings.Join(status.Nodes.Lagging, ", ")})
	}
	return rows
}

func (application *application) nodesCommand() *ff.Command {
	return &ff.Command{
		Name:      "nodes",
		Usage:     "driftctl nodes [FLAGS]",
		ShortHelp: "print the platform's list of machines, which lags",
		Flags:     application.newFlags("nodes"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fail(exitUsage, "nodes takes no arguments, got %q", args)
			}
			return application.printNodes(ctx)
		},
	}
}

func (application *application) printNodes(ctx context.Context) error {
	client := application.client()
	defer client.Close()
	machines, err := client.Machines(ctx)
	if err != nil {
		return err
	}
	if application.outputFormat != formatTable {
		return application.printValue(machines)
	}
	rows := [][]string{{"NAME", "ADDRESS", "ZONE", "STATE"}}
	for _, machine := range machines {
		rows = append(rows, []string{machine.Name, machine.Address, machine.Zone, string(machine.State)})
	}
	return application.printTable(rows)
}

func (application *application) validateCommand() *ff.Command {
	var files []string
	flags := application.newFlags("validate")
	flags.StringListVar(&files, 'f', "file", "file with resources in YAML or JSON, - for standard input; may be repeated")
	return &ff.Command{
		Name:      "validate",
		Usage:     "driftctl validate -f FILE [FLAGS]",
		ShortHelp: "check resources without asking the platform",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fail(exitUsage, "validate takes no arguments, got %q; name files with -f", args)
			}
			return application.validate(files)
		},
	}
}

func (application *application) validate(files []string) error {
	documents, err := application.readDocuments(files)
	if err != nil {
		return err
	}
	if err := checkDocuments(documents); err != nil {
		return err
	}
	for _, document := range documents {
		fmt.Fprintf(application.output, "%s: %s is valid\n", document.source, document.object.Metadata.Name)
	}
	return nil
}
