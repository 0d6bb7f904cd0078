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

// Check reads a settings tree from a directory. It prints the number of files and services, or returns what is invalid.
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

// PlanDir compares the tree in a directory with the one in force. If whole is set, teams that are not in the directory are
// removed; otherwise they stay as they are.
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

// keepOtherTeams adds to nodes the nodes in force of teams that nodes does not contain. For this, the root node counts as
// a team.
func keepOtherTeams(nodes, inForce tree.Nodes) {
	present := map[string]bool{}
	for path := range nodes {
		present[teamOf(path)] = true
	}
	for path, node := range inForce {
		if !present[teamOf(path)] {
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

// Show returns the value in force of every field at a node, and the node that sets it.
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

// Explain returns the value in force of one field at a node, and the node that sets it.
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

// History returns the audit entries of one path, or of all paths if all is set, newest first.
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

// Outcome returns the verdict on a change whose publish ended with ExitUnknown.
func (client *Client) Outcome(ctx context.Context, id string) (fold.Verdict, error) {
	_, err := client.State(ctx)
	if err != nil {
		return fold.Verdict{}, err
	}
	verdict, exists := client.follower.Verdict(id)
	if !exists {
		return verdict, newExitError(ExitUnknown, errors.Errorf("the log holds no change %s among its recent records; an append that was on its way may still arrive within its timeout", id))
	}
	if !verdict.Accepted {
		return verdict, newExitError(ExitRejected, errors.Errorf("the change %s was rejected: %s", id, verdict.Reason))
	}
	return verdict, nil
}

// PublishOptions are the operator's options for a publish.
type PublishOptions struct {
	// Author is the name for the audit trail.
	Author string
	// Reason is the text for the audit trail.
	Reason string
	// Base is the version that must be in force, or the publish is rejected; 0 allows any version.
	Base int64
	// Whole removes teams that are not in the directory.
	Whole bool
	// Wait bounds the wait until the change is in force on every host; 0 does not wait.
	Wait time.Duration
}

// PublishDir publishes the tree in a directory. If nothing would change, it appends nothing and returns a publication that
// is not accepted.
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

// PrintPublication writes the result of a publish that ended without an error.
func PrintPublication(writer io.Writer, publication Publication) {
	if !publication.Accepted {
		_, _ = fmt.Fprintf(writer, "nothing to change; version %d is in force\n", publication.Version)
		return
	}
	_, _ = fmt.Fprintf(writer, "accepted as version %d, in force on %d hosts\n", publication.Version, len(publication.InForce))
}
