package opctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"cherrykeel/fold"
	"cherrykeel/tree"
)

// Check reads a tree and says what is wrong with it.
func Check(writer io.Writer, dir string) (tree.Nodes, error) {
	nodes, err := tree.LoadDir(dir)
	if err != nil {
		return nil, newExitError(ExitInvalid, err)
	}
	services := 0
	for path := range nodes {
		if tree.LevelOf(path) == tree.LevelService {
			services++
		}
	}
	_, _ = fmt.Fprintf(writer, "%s: %d files are right, with %d services\n", dir, len(nodes), services)
	return nodes, nil
}

// PlanDir compares a tree in a directory with the one in force; only leaves out the teams that the directory does not hold.
func (client *Client) PlanDir(ctx context.Context, dir string, whole bool) (Plan, error) {
	nodes, err := tree.LoadDir(dir)
	if err != nil {
		return Plan{}, newExitError(ExitInvalid, err)
	}
	state, err := client.State(ctx)
	if err != nil {
		return Plan{}, err
	}
	if !whole {
		keepOtherTeams(nodes, state.Nodes)
	}
	return MakePlan(state, nodes)
}

// keepOtherTeams leaves the teams that a directory does not hold as they are.
func keepOtherTeams(nodes, inForce tree.Nodes) {
	held := map[string]bool{}
	for path := range nodes {
		held[teamOf(path)] = true
	}
	for path, node := range inForce {
		if !held[teamOf(path)] {
			nodes[path] = node
		}
	}
}

func teamOf(path string) string {
	if tree.LevelOf(path) == tree.LevelService {
		return tree.Parent(path)
	}
	return path
}

// Show returns every field in force at a node and where it is set.
func (client *Client) Show(ctx context.Context, path string) ([]tree.Source, error) {
	state, err := client.State(ctx)
	if err != nil {
		return nil, err
	}
	var sources []tree.Source
	for _, field := range tree.Fields {
		source, err := tree.Explain(state.Nodes, path, field.Name)
		if err != nil {
			return nil, newExitError(ExitInvalid, err)
		}
		sources = append(sources, source)
	}
	return sources, nil
}

// Explain returns where the value of one field comes from.
func (client *Client) Explain(ctx context.Context, path, field string) (tree.Source, error) {
	state, err := client.State(ctx)
	if err != nil {
		return tree.Source{}, err
	}
	source, err := tree.Explain(state.Nodes, path, field)
	if err != nil {
		return source, newExitError(ExitInvalid, err)
	}
	return source, nil
}

// History returns the audit trail, the newest first, of one path or of all.
func (client *Client) History(ctx context.Context, path string, all bool) ([]fold.AuditEntry, error) {
	state, err := client.State(ctx)
	if err != nil {
		return nil, err
	}
	entries := []fold.AuditEntry{}
	for i := len(state.Audit) - 1; i >= 0; i-- {
		if all || state.Audit[i].Path == path {
			entries = append(entries, state.Audit[i])
		}
	}
	return entries, nil
}

// Outcome tells what became of a change whose publish ended without knowing.
func (client *Client) Outcome(ctx context.Context, id string) (fold.Verdict, error) {
	_, err := client.State(ctx)
	if err != nil {
		return fold.Verdict{}, err
	}
	verdict, known := client.follower.Verdict(id)
	if !known {
		return verdict, newExitError(ExitUnknown, errors.Errorf("the log holds no change %s among its recent records; an append that was on its way may still arrive within its timeout", id))
	}
	if !verdict.Accepted {
		return verdict, newExitError(ExitRejected, errors.Errorf("the change %s was rejected: %s", id, verdict.Reason))
	}
	return verdict, nil
}

// PublishOptions are an operator's wishes for a publish.
type PublishOptions struct {
	Author string
	Reason string
	// Base refuses the publish if another version is in force; 0 takes whatever is.
	Base  int64
	Whole bool
	// Wait bounds the wait for the change to be in force on every host; 0 does not wait.
	Wait time.Duration
}

// PublishDir publishes the tree in a directory.
func (client *Client) PublishDir(ctx context.Context, dir string, options PublishOptions) (Publication, error) {
	plan, err := client.PlanDir(ctx, dir, options.Whole)
	if err != nil {
		return Publication{}, err
	}
	if options.Base != 0 && plan.Version != options.Base {
		entry := findAuditEntry(client.follower.State(), plan.Version)
		publication := Publication{ConflictingEntry: entry}
		publication.Reason = fmt.Sprintf("version %d is in force, --base names %d", plan.Version, options.Base)
		return publication, newExitError(ExitRejected, errors.New(rejectionMessage(publication)))
	}
	if len(plan.Edits) == 0 {
		return Publication{Version: plan.Version, Reason: "nothing to change"}, nil
	}
	publication, err := client.Publish(ctx, plan, options.Author, options.Reason)
	if err != nil || options.Wait == 0 {
		return publication, err
	}
	return publication, client.AwaitInForce(ctx, &publication, options.Wait)
}

// PrintPublication writes what became of a publish.
func PrintPublication(writer io.Writer, publication Publication) {
	if !publication.Accepted {
		_, _ = fmt.Fprintf(writer, "nothing to change; version %d is in force\n", publication.Version)
		return
	}
	_, _ = fmt.Fprintf(writer, "accepted as version %d, in force on %d hosts\n", publication.Version, len(publication.InForce))
}
