package opctl

import (
	"context"
	"os"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/follow"
	"cherrykeel/host"
	"cherrykeel/remote"
	"cherrykeel/tree"
)

// The exit codes of the commands.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitInvalid means that the input is invalid; nothing was sent.
	ExitInvalid = 1
	// ExitRejected means that the change conflicts with another one that was accepted before; nothing was changed.
	ExitRejected = 2
	// ExitUnknown means that the log may or may not contain the change; look it up by its id.
	ExitUnknown = 3
	// ExitUnreachable means that the log, the host list or every host is unreachable; nothing was changed.
	ExitUnreachable = 4
	// ExitPartial means that the change was accepted, but is not yet in force on every host.
	ExitPartial = 5
)

// ExitError is an error with an exit code for the program.
type ExitError struct {
	// Code is one of the Exit constants.
	Code int
	// Err is the cause.
	Err error
}

// Error implements error.
func (exit *ExitError) Error() string {
	return exit.Err.Error()
}

// Unwrap returns the cause.
func (exit *ExitError) Unwrap() error {
	return exit.Err
}

func newExitError(code int, err error) error {
	return &ExitError{Code: code, Err: err}
}

const (
	// statusTimeout bounds each request to a host.
	statusTimeout       = 2 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

// Client sends operators' commands to the platform's log and host list, and to the hosts.
type Client struct {
	log      cherrykeel.Log
	hostList cherrykeel.HostList
	http     *resty.Client
	clock    cherrykeel.Clock
	follower *follow.Follower
	timeout  time.Duration
}

// NewClient returns a client. log and hosts are the HTTP URLs of the platform's log and host list. timeout bounds each
// wait for the log.
func NewClient(log, hosts string, timeout time.Duration) *Client {
	clock := cherrykeel.SystemClock()
	client := &Client{
		log:      remote.NewLog(log, host.Stream),
		hostList: remote.NewHostList(hosts),
		http:     remote.NewClient("", statusTimeout),
		clock:    clock,
		timeout:  timeout,
	}
	client.follower = follow.New(client.log, clock)
	return client
}

// State reads the log to its end and returns the state. It starts the follower, which goes on reading until ctx ends;
// Publish needs that to see its own record.
func (client *Client) State(ctx context.Context) (*fold.State, error) {
	go client.follower.Run(ctx)
	deadline := time.Now().Add(client.timeout)
	for time.Now().Before(deadline) {
		if client.follower.Status().CaughtUp {
			return client.follower.State(), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, newExitError(ExitUnreachable, errors.Errorf("the log could not be read within %v: %s", client.timeout, client.follower.Status().Reason))
}

// Plan holds the changes that a publish would make.
type Plan struct {
	// Version is the settings version in force that the plan was compared with.
	Version int64
	// Edits are the changed nodes; the list is empty if nothing would change.
	Edits []PlannedEdit
}

// PlannedEdit is the change of one node of the settings tree.
type PlannedEdit struct {
	tree.Edit
	// Before holds the node's fields in force.
	Before map[string]any
}

// MakePlan compares a tree with the one in force. It returns an ExitError with ExitInvalid if the changes would give keys
// a second owner.
func MakePlan(state *fold.State, desired tree.Nodes) (Plan, error) {
	plan := Plan{Version: state.Version}
	for _, edit := range tree.Diff(state.Nodes, desired) {
		before := state.Nodes[edit.Path].Fields
		plan.Edits = append(plan.Edits, PlannedEdit{Edit: edit, Before: before})
	}
	return plan, checkKeyedServices(state.Nodes, desired)
}

// checkKeyedServices rejects changes to keyed services in force that would give their keys a second owner.
func checkKeyedServices(inForce, desired tree.Nodes) error {
	for path := range desired {
		_, exists := inForce[path]
		if tree.LevelOf(path) != tree.LevelService || !exists {
			continue
		}
		before, err := tree.Resolve(inForce, path)
		if err != nil || !before.Keyed {
			continue
		}
		after, err := tree.Resolve(desired, path)
		if err != nil || !after.Keyed {
			continue
		}
		err = checkPartitions(before, after)
		if err == nil {
			err = checkAddresses(before, after)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkPartitions rejects a change of the number of partitions: it would move the keys to other partitions, and so to
// other owners, at once.
func checkPartitions(before, after *cherrykeel.Service) error {
	if before.Partitions == after.Partitions {
		return nil
	}
	return newExitError(ExitInvalid, errors.Errorf("%s: Partitions is %d in force and cannot become %d; publish the service under another name and move callers", before.Path, before.Partitions, after.Partitions))
}

// checkAddresses rejects a new address for an upstream name, unless the service checks fences before and after the change:
// hosts read settings at different times, so requests for a key would reach the old process and the new one. Leases do
// not prevent that, since they refer to the upstream by its name.
func checkAddresses(before, after *cherrykeel.Service) error {
	if before.ChecksFences && after.ChecksFences {
		return nil
	}
	addresses := map[string]string{}
	for _, server := range before.Upstreams {
		addresses[server.Name] = server.Address
	}
	for _, server := range after.Upstreams {
		address, exists := addresses[server.Name]
		if exists && address != server.Address {
			return newExitError(ExitInvalid, errors.Errorf("%s: upstream %s checks no fences and cannot move from %s to %s; publish the new one under another name", before.Path, server.Name, address, server.Address))
		}
	}
	return nil
}

// Publication is the result of a publish.
type Publication struct {
	// ID identifies the change in the log.
	ID string
	// Version is the offset of the change in the log plus one, or the version in force if there was nothing to change.
	Version int64
	// Accepted reports whether the change was applied. It is false, without an error, if there was nothing to change.
	Accepted bool
	// Reason explains why the change was rejected, or that there was nothing to change.
	Reason string
	// ConflictingEntry is the earlier change that this one conflicts with.
	ConflictingEntry *fold.AuditEntry `json:"Lost,omitempty"`
	// InForce names the hosts on which the change is in force.
	InForce []string
	// Missing names the hosts on which it is not in force, or that did not answer.
	Missing []string
}

// Publish appends a plan's edits to the log and waits for the verdict on them. It requires a running follower: call State
// before. If the outcome stays unknown, the error has ExitUnknown; if the change is rejected, ExitRejected.
func (client *Client) Publish(ctx context.Context, plan Plan, author, reason string) (Publication, error) {
	record := fold.Record{Format: fold.Format, ID: uuid.NewString(), Author: author, Time: client.clock.Wall()}
	record.Change = &fold.Change{Reason: reason, Base: plan.Version}
	for _, edit := range plan.Edits {
		record.Change.Edits = append(record.Change.Edits, edit.Edit)
	}
	publication := Publication{ID: record.ID}
	publishCtx, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	verdict, err := client.follower.Propose(publishCtx, record)
	if err != nil {
		return publication, newExitError(ExitUnknown, errors.Wrapf(err, "the change %s may or may not have been taken; ask with `cherrykeel history --id %s`, do not publish again before", record.ID, record.ID))
	}
	publication.Version = verdict.Version
	publication.Accepted = verdict.Accepted
	publication.Reason = verdict.Reason
	if !verdict.Accepted {
		publication.ConflictingEntry = findAuditEntry(client.follower.State(), verdict.ConflictVersion)
		return publication, newExitError(ExitRejected, errors.New(rejectionMessage(publication)))
	}
	return publication, nil
}

func findAuditEntry(state *fold.State, version int64) *fold.AuditEntry {
	for _, entry := range state.Audit {
		if entry.Version == version {
			return &entry
		}
	}
	return nil
}

func rejectionMessage(publication Publication) string {
	text := "rejected, nothing was changed: " + publication.Reason
	if conflicting := publication.ConflictingEntry; conflicting != nil {
		text += "; it lost to version " + formatVersion(conflicting.Version) + " by " + conflicting.Author + " (" + conflicting.Reason + ")"
	}
	return text + "; run `cherrykeel plan` again to see what remains to be done"
}

// AwaitInForce waits until a publication's version is in force on every entry host that is not leaving. It updates InForce
// and Missing. After wait it returns an ExitError with ExitPartial.
func (client *Client) AwaitInForce(ctx context.Context, publication *Publication, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		statuses, err := client.HostStatuses(ctx)
		if err != nil {
			return newExitError(ExitPartial, errors.Wrap(err, "accepted, but the hosts could not be asked"))
		}
		publication.InForce, publication.Missing = nil, nil
		for _, status := range statuses {
			if status.Status != nil && status.Status.Version >= publication.Version {
				publication.InForce = append(publication.InForce, status.Member.Name)
				continue
			}
			publication.Missing = append(publication.Missing, status.Member.Name)
		}
		if len(publication.Missing) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return newExitError(ExitPartial, errors.Errorf("accepted as version %d, but after %v not in force on: %v", publication.Version, wait, publication.Missing))
		}
		time.Sleep(inForcePollInterval)
	}
}

// HostStatus is a host on the platform's list with the status that it reports.
type HostStatus struct {
	// Member is the host's entry on the list.
	Member cherrykeel.Member
	// Status is nil if the host did not answer.
	Status *host.Status `json:",omitempty"`
	// Error explains why there is no status.
	Error string `json:",omitempty"`
}

// HostStatuses requests the status of every entry host on the platform's list that is not leaving. A host that does not
// answer is in the result with its error.
func (client *Client) HostStatuses(ctx context.Context) ([]HostStatus, error) {
	members, err := client.hostList.Members(ctx)
	if err != nil {
		return nil, newExitError(ExitUnreachable, err)
	}
	var statuses []HostStatus
	for _, member := range members {
		if member.Role != cherrykeel.RoleEntry || member.Leaving {
			continue
		}
		status := HostStatus{Member: member}
		var answer host.Status
		err := client.get(ctx, member, "/status", &answer)
		if err != nil {
			status.Error = err.Error()
		} else {
			status.Status = &answer
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

func (client *Client) get(ctx context.Context, member cherrykeel.Member, path string, result any) error {
	response, err := client.http.R().SetContext(ctx).SetResult(result).Get("http://" + member.AdminAddress + path)
	if err != nil {
		return errors.WithStack(err)
	}
	if response.IsError() {
		return errors.Errorf("%s: %s", response.Status(), response.String())
	}
	return nil
}

// Owner requests the owner of a key from one host after the other, and returns the first answer.
func (client *Client) Owner(ctx context.Context, service, key string) (host.Ownership, error) {
	var ownership host.Ownership
	members, err := client.hostList.Members(ctx)
	if err != nil {
		return ownership, newExitError(ExitUnreachable, err)
	}
	err = errors.New("no entry host is on the platform's list")
	for _, member := range members {
		if member.Role != cherrykeel.RoleEntry || member.Leaving {
			continue
		}
		path := "/owner?service=" + escapeQuery(service) + "&key=" + escapeQuery(key)
		err = client.get(ctx, member, path, &ownership)
		if err == nil {
			return ownership, nil
		}
	}
	return ownership, newExitError(ExitUnreachable, err)
}

// Author returns the first of CHERRYKEEL_AUTHOR, USER and LOGNAME that is set in the environment, or "unknown".
func Author() string {
	for _, name := range []string{"CHERRYKEEL_AUTHOR", "USER", "LOGNAME"} {
		if value := os.Getenv(name); value != "" {
			return value
		}
	}
	return "unknown"
}
