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
	ExitDone = 0
	// ExitInvalid means that the input was wrong; nothing was sent.
	ExitInvalid = 1
	// ExitRejected means that the change lost to another one; nothing was changed.
	ExitRejected = 2
	// ExitUnknown means that the log took or lost the change; it must be looked up by its id.
	ExitUnknown = 3
	// ExitUnreachable means that the log, the list or every host did not answer; nothing was changed.
	ExitUnreachable = 4
	// ExitPartial means that the change is accepted, but not yet in force on every host.
	ExitPartial = 5
)

// ExitError is an error that sets the exit code of the program.
type ExitError struct {
	Code int
	Err  error
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
	statusTimeout       = 2 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

// Client speaks to the platform and to the hosts.
type Client struct {
	log      cherrykeel.Log
	hostList cherrykeel.HostList
	http     *resty.Client
	clock    cherrykeel.Clock
	follower *follow.Follower
	timeout  time.Duration
}

// NewClient returns a client; log and hosts are http URLs, timeout bounds each wait for the platform.
func NewClient(log, hosts string, timeout time.Duration) *Client {
	clock := cherrykeel.SystemClock()
	client := &Client{
		log:      remote.NewLog(log, host.Stream),
		hostList: remote.NewHostList(hosts),
		http:     resty.New().SetTimeout(statusTimeout),
		clock:    clock,
		timeout:  timeout,
	}
	client.follower = follow.New(client.log, clock)
	return client
}

// State reads the newest state from the log.
func (client *Client) State(ctx context.Context) (*fold.State, error) {
	go client.follower.Run(ctx)
	limit := time.Now().Add(client.timeout)
	for time.Now().Before(limit) {
		if client.follower.Status().CaughtUp {
			return client.follower.State(), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, newExitError(ExitUnreachable, errors.Errorf("the log could not be read within %v: %s", client.timeout, client.follower.Status().Reason))
}

// Plan is what a publish would change.
type Plan struct {
	// Version is the settings version that the plan was made against.
	Version int64
	Edits   []PlannedEdit
}

// PlannedEdit is one node's change.
type PlannedEdit struct {
	tree.Edit
	Before map[string]any
}

// MakePlan compares a tree with the one in force.
func MakePlan(state *fold.State, wanted tree.Nodes) (Plan, error) {
	plan := Plan{Version: state.Version}
	for _, edit := range tree.Diff(state.Nodes, wanted) {
		before := state.Nodes[edit.Path].Fields
		plan.Edits = append(plan.Edits, PlannedEdit{Edit: edit, Before: before})
	}
	return plan, checkKeyedServices(state.Nodes, wanted)
}

// checkKeyedServices refuses changes that would give keys which a service holds a second owner.
func checkKeyedServices(inForce, wanted tree.Nodes) error {
	for path := range wanted {
		_, exists := inForce[path]
		if tree.LevelOf(path) != tree.LevelService || !exists {
			continue
		}
		before, err := tree.Resolve(inForce, path)
		if err != nil || !before.Keyed {
			continue
		}
		after, err := tree.Resolve(wanted, path)
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

// checkPartitions refuses to change the number of partitions: every key would have another
// partition, and so another owner, at one moment.
func checkPartitions(before, after *cherrykeel.Service) error {
	if before.Partitions == after.Partitions {
		return nil
	}
	return newExitError(ExitInvalid, errors.Errorf("%s: Partitions is %d in force and cannot become %d; publish the service under another name and move callers", before.Path, before.Partitions, after.Partitions))
}

// checkAddresses refuses to move the name of an upstream that checks no fences: hosts read settings at
// different times, and leases on sending would not tell the two processes apart.
func checkAddresses(before, after *cherrykeel.Service) error {
	if before.ChecksFences && after.ChecksFences {
		return nil
	}
	addresses := map[string]string{}
	for _, server := range before.Upstreams {
		addresses[server.Name] = server.Address
	}
	for _, server := range after.Upstreams {
		address, known := addresses[server.Name]
		if known && address != server.Address {
			return newExitError(ExitInvalid, errors.Errorf("%s: upstream %s checks no fences and cannot move from %s to %s; publish the new one under another name", before.Path, server.Name, address, server.Address))
		}
	}
	return nil
}

// Publication is what became of a publish.
type Publication struct {
	ID       string
	Version  int64
	Accepted bool
	Reason   string
	// ConflictingEntry is the change that was in force instead.
	ConflictingEntry *fold.AuditEntry `json:"Lost,omitempty"`
	// InForce and Missing name the hosts on which the change is in force, and is not.
	InForce []string
	Missing []string
}

// Publish appends a plan's edits and finds out what became of them.
func (client *Client) Publish(ctx context.Context, plan Plan, author, reason string) (Publication, error) {
	record := fold.Record{Format: fold.Format, ID: uuid.NewString(), Author: author, Time: client.clock.Wall()}
	record.Change = &fold.Change{Reason: reason, Base: plan.Version}
	for _, edit := range plan.Edits {
		record.Change.Edits = append(record.Change.Edits, edit.Edit)
	}
	publication := Publication{ID: record.ID}
	wait, cancel := context.WithTimeout(ctx, client.timeout)
	defer cancel()
	verdict, err := client.follower.Propose(wait, record)
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
	if lost := publication.ConflictingEntry; lost != nil {
		text += "; it lost to version " + formatVersion(lost.Version) + " by " + lost.Author + " (" + lost.Reason + ")"
	}
	return text + "; run `cherrykeel plan` again to see what remains to be done"
}

// AwaitInForce waits until a version is in force on every live host, and names those on which it is not.
func (client *Client) AwaitInForce(ctx context.Context, publication *Publication, wait time.Duration) error {
	limit := time.Now().Add(wait)
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
		if time.Now().After(limit) {
			return newExitError(ExitPartial, errors.Errorf("accepted as version %d, but after %v not in force on: %v", publication.Version, wait, publication.Missing))
		}
		time.Sleep(inForcePollInterval)
	}
}

// HostStatus is a host on the platform's list and what it says of itself.
type HostStatus struct {
	Member cherrykeel.Member
	// Status is nil if the host did not answer.
	Status *host.Status `json:",omitempty"`
	Error  string       `json:",omitempty"`
}

// HostStatuses asks every live entry host on the platform's list for its status.
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

// Owner asks the hosts who owns a key, and returns the first answer.
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

// Author returns who is at the keyboard.
func Author() string {
	for _, name := range []string{"CHERRYKEEL_AUTHOR", "USER", "LOGNAME"} {
		if value := os.Getenv(name); value != "" {
			return value
		}
	}
	return "unknown"
}
