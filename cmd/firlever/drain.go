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

const drainHelp = `Give no new work to a place, a target or an instance, while what is in flight
there finishes. A drain is a document, and stays until you undrain. Watch how it
goes with "firlever status".

A whole place and an instance are drained by tokens of the team "system"; one
service of a place, and a target, by tokens of the service's team.`

const undrainHelp = `End a drain: what was drained gets work again. What is not drained is left as it is.`

func newDrainCommand() *cobra.Command {
	return newGroupCommand("drain", "Give no new work to a place, a target or an instance", drainHelp, newDrainSubcommands(startDrain)...)
}

func newUndrainCommand() *cobra.Command {
	return newGroupCommand("undrain", "End a drain", undrainHelp, newDrainSubcommands(endDrain)...)
}

// drainAction starts or ends the drain d.
type drainAction func(ctx context.Context, client *operator.Client, d settings.NamedDrain) (string, error)

func newDrainSubcommands(action drainAction) []*cobra.Command {
	return []*cobra.Command{newDrainPlaceCommand(action), newDrainTargetCommand(action), newDrainInstanceCommand(action)}
}

func newDrainPlaceCommand(action drainAction) *cobra.Command {
	var service string
	return newDrainSubcommand(action, "place PLACE", "  firlever drain place hob-a --reason \"new switches\"\n  firlever drain place hob-a --service payments/ledger-view", 1,
		func(cmd *cobra.Command) {
			cmd.Flags().StringVar(&service, "service", "", "this service alone, team/name")
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

func newDrainSubcommand(action drainAction, use, example string, args int, flags func(*cobra.Command), parse func([]string) (settings.NamedDrain, error)) *cobra.Command {
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
	cmd.Flags().StringVar(&reason, "reason", "", "why, for other operators to read")
	if flags != nil {
		flags(cmd)
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

// drainName is the same for the same drain, and another for each other one.
// It is readable where that can be.
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

// currentVersion is what a change to a path has to name.
func currentVersion(ctx context.Context, client *operator.Client, path string) (version uint64, exists bool, err error) {
	doc, err := client.Get(ctx, path, false)
	var p *operator.Problem
	if errors.As(err, &p) && p.Code == operator.CodeNotFound {
		return p.Version, false, nil
	}
	return doc.Version, err == nil, err
}

// drainBody writes a drain as YAML. A quoted Go text is one of YAML too, as
// long as it is plain; anything else is refused when it is parsed.
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
