package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

const drainHelp = `Send no new requests to a place, a target or an instance; requests in flight
there are completed. A drain is a document, and holds until it is ended with
"firlever undrain". "firlever status" shows its progress.

To drain a whole place or an instance takes a token of the team "system"; to
drain one service at a place, or a target, takes a token of the service's team.`

const undrainHelp = `End a drain, and send requests there again. If there is no such drain, nothing
changes.`

func newDrainCommand() *cobra.Command {
	return newGroupCommand("drain", "Send no new requests to a place, a target or an instance", drainHelp, newDrainSubcommands(startDrain)...)
}

func newUndrainCommand() *cobra.Command {
	return newGroupCommand("undrain", "End a drain", undrainHelp, newDrainSubcommands(endDrain)...)
}

// drainAction starts or ends the drain d and returns the line to print.
type drainAction func(ctx context.Context, client *operator.Client, d settings.NamedDrain) (string, error)

func newDrainSubcommands(action drainAction) []*cobra.Command {
	return []*cobra.Command{newDrainPlaceCommand(action), newDrainTargetCommand(action), newDrainInstanceCommand(action)}
}

func newDrainPlaceCommand(action drainAction) *cobra.Command {
	var service string
	return newDrainSubcommand(action, "place PLACE", "  firlever drain place hob-a --reason \"new switches\"\n  firlever drain place hob-a --service payments/ledger-view", 1,
		func(cmd *cobra.Command) {
			cmd.Flags().StringVar(&service, "service", "", "drain only this service, team/name")
		},
		func(args []string) (settings.NamedDrain, error) { return placeDrain(args[0], service) })
}

func newDrainTargetCommand(action drainAction) *cobra.Command {
	return newDrainSubcommand(action, "target TEAM/SERVICE TARGET", "  firlever drain target payments/ledger-view ledger-3", 2, nil,
		func(args []string) (settings.NamedDrain, error) { return targetDrain(args[0], args[1]) })
}

func newDrainInstanceCommand(action drainAction) *cobra.Command {
	return newDrainSubcommand(action, "instance ID", "  firlever drain instance hob-a.1", 1, nil,
		func(args []string) (settings.NamedDrain, error) { return instanceDrain(args[0]), nil })
}

func newDrainSubcommand(action drainAction, use, example string, args int, addFlags func(*cobra.Command), parse func([]string) (settings.NamedDrain, error)) *cobra.Command {
	var conn connection
	var reason string
	cmd := &cobra.Command{
		Use:     use,
		Short:   "Drain or undrain: " + use,
		Example: example,
		Args:    exactArgs(args),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := parse(args)
			if err != nil {
				return err
			}
			d.Drain.Reason = reason
			return conn.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				result, err := action(ctx, client, d)
				if err == nil {
					_, err = fmt.Fprintln(cmd.OutOrStdout(), result)
				}
				return err
			})
		},
	}
	conn.addFlags(cmd)
	cmd.Flags().StringVar(&reason, "reason", "", "reason that other operators are shown")
	if addFlags != nil {
		addFlags(cmd)
	}
	return cmd
}

func placeDrain(place, service string) (settings.NamedDrain, error) {
	if service == "" {
		name := drainName("place", place)
		return settings.NamedDrain{Path: settings.DrainPath(name), Drain: settings.Drain{Place: place}}, nil
	}
	id, err := settings.ParseServiceID(service)
	path := settings.TeamDrainPath(id.Team, drainName("place", place, id.Name))
	return settings.NamedDrain{Path: path, Service: id, Drain: settings.Drain{Place: place, Service: id.Name}}, err
}

func targetDrain(service, target string) (settings.NamedDrain, error) {
	id, err := settings.ParseServiceID(service)
	path := settings.TeamDrainPath(id.Team, drainName("target", id.Name, target))
	return settings.NamedDrain{Path: path, Service: id, Drain: settings.Drain{Target: target, Service: id.Name}}, err
}

func instanceDrain(id string) settings.NamedDrain {
	path := settings.DrainPath(drainName("instance", id))
	return settings.NamedDrain{Path: path, Drain: settings.Drain{Instance: id}}
}

// drainName returns the name of the document that holds a drain: the same for equal arguments,
// and different for different ones. If the kind and a single part make a valid name, it is that;
// else it is a readable prefix and a hash.
func drainName(kind string, parts ...string) string {
	name := kind + "-" + strings.Join(parts, "-")
	if len(parts) == 1 && settings.ValidName(name) {
		return name
	}
	const hashed = 12 // hex digits
	hash := settings.HashToken(kind + "/" + strings.Join(parts, "/"))[:hashed]
	readable := strings.Map(func(r rune) rune {
		if settings.ValidName(string(r)) {
			return r
		}
		return '-'
	}, name)
	return readable[:min(len(readable), settings.MaxName-hashed-1)] + "-" + hash
}

func startDrain(ctx context.Context, client *operator.Client, d settings.NamedDrain) (string, error) {
	doc := settings.Document{Path: d.Path, Body: drainBody(d.Drain)}
	if _, err := settings.Parse(doc); err != nil {
		return "", err
	}
	version, _, err := currentVersion(ctx, client, d.Path)
	if err != nil {
		return "", err
	}
	doc.Version = version
	change, err := putWithRetry(ctx, client, doc)
	return fmt.Sprintf("draining: %s at version %d", change.Path, change.Version), err
}

func endDrain(ctx context.Context, client *operator.Client, d settings.NamedDrain) (string, error) {
	if _, err := settings.ParsePath(d.Path); err != nil {
		return "", err
	}
	version, exists, err := currentVersion(ctx, client, d.Path)
	if err != nil {
		return "", err
	}
	if !exists {
		return "not drained: " + d.Path, nil
	}
	change, err := putWithRetry(ctx, client, settings.Document{Path: d.Path, Version: version, Deleted: true})
	return fmt.Sprintf("no longer drained: %s at version %d", change.Path, change.Version), err
}

// currentVersion returns the version that a change to the document has to name, which is that of
// the deletion if the document is deleted.
func currentVersion(ctx context.Context, client *operator.Client, path string) (version uint64, exists bool, err error) {
	doc, err := client.Get(ctx, path, false)
	var p *operator.Problem
	if errors.As(err, &p) && p.Code == operator.CodeNotFound {
		return p.Version, false, nil
	}
	return doc.Version, err == nil, err
}

// drainBody encodes a drain as YAML. A quoted Go string of plain text is a valid YAML string
// too; any other is rejected when the document is parsed.
func drainBody(d settings.Drain) []byte {
	var b strings.Builder
	fields := []struct{ name, value string }{
		{"place", d.Place}, {"instance", d.Instance}, {"service", d.Service}, {"target", d.Target}, {"reason", d.Reason},
	}
	for _, f := range fields {
		if f.value != "" {
			fmt.Fprintf(&b, "%s: %s\n", f.name, strconv.Quote(f.value))
		}
	}
	return []byte(b.String())
}
