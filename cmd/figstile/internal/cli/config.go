package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/admin"
)

type configCommands struct {
	Get      configGet      `cmd:"" help:"Show the versions in force, or one object."`
	Apply    configApply    `cmd:"" help:"Replace an object by a file's content."`
	Diff     configDiff     `cmd:"" help:"Compare an object with a file."`
	History  configHistory  `cmd:"" help:"Show who changed an object last."`
	Validate configValidate `cmd:"" help:"Check a file as apply would, without changing anything."`
}

// objectKey is the key of an object as operators write it: root or teams/NAME.
type objectKey string

// path returns the object's URL path below a resource of the administration API.
func (k objectKey) path(resource string) string {
	relativeKey := strings.TrimPrefix(string(k), config.Prefix)
	return escapedPath(append([]string{resource}, strings.Split(relativeKey, "/")...)...)
}

func (a *app) getObject(key objectKey) (admin.ObjectDocument, error) {
	var doc admin.ObjectDocument
	err := a.client.get(a.ctx, key.path("config"), &doc)
	return doc, err
}

// getObjectOrEmpty returns a document with version zero and an empty value if the
// object does not exist.
func (a *app) getObjectOrEmpty(key objectKey) (admin.ObjectDocument, error) {
	doc, err := a.getObject(key)
	var problem *problemError
	if errors.As(err, &problem) && result.Code(problem.Code) == result.NotFound {
		return admin.ObjectDocument{Key: string(key), Value: json.RawMessage("{}")}, nil
	}
	return doc, err
}

type configGet struct {
	Key objectKey `arg:"" optional:"" help:"root or teams/NAME; without it, the versions in force are listed."`
}

func (c configGet) Run(a *app) error {
	if c.Key == "" {
		return listVersions(a)
	}
	doc, err := a.getObject(c.Key)
	if err != nil {
		return err
	}
	return a.out.show(doc, func() {
		// Only the value is printed, so that it can be edited and applied.
		// From the change id in it, apply finds out the version it was made
		// from.
		pretty, _ := json.MarshalIndent(doc.Value, "", "  ")
		fmt.Fprintf(a.out.w, "%s\n", pretty)
	})
}

func listVersions(a *app) error {
	var list admin.ObjectList
	if err := a.client.get(a.ctx, "/config", &list); err != nil {
		return err
	}
	return a.out.show(list, func() {
		a.out.printTable([]string{"OBJECT", "VERSION", "CHANGED BY", "AT", "CHANGE"}, versionRows(list.Objects))
		for _, r := range list.Refused {
			fmt.Fprintf(a.out.w, "refused: %s version %d: %s\n", r.Key, r.Version, r.Reason)
		}
	})
}

func versionRows(objects []admin.ObjectVersion) [][]string {
	var rows [][]string
	for _, o := range objects {
		lastChange := config.Change{}
		if o.Change != nil {
			lastChange = *o.Change
		}
		rows = append(rows, formatRow(o.Key, o.Version, lastChange.By, lastChange.At, lastChange.Summary))
	}
	return rows
}

// fileArgs holds the arguments that name an object and the file with its new
// content.
type fileArgs struct {
	Key  objectKey `arg:"" help:"root or teams/NAME."`
	File string    `arg:"" help:"File with the whole object; - reads the standard input."`
}

func (f fileArgs) readFile() ([]byte, error) {
	if f.File == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, config.MaxObjectBytes+1))
		return data, asUsageError(err)
	}
	data, err := os.ReadFile(f.File)
	return data, asUsageError(err)
}

func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError(err.Error())
}

type configApply struct {
	changeFlags
	fileArgs
	Create bool `help:"The object must not exist yet." xor:"version"`
	Force  bool `help:"Replace whatever version is in force." xor:"version"`
}

func (c configApply) Run(a *app) error {
	data, err := c.readFile()
	if err != nil {
		return err
	}
	ch := c.newChange("PUT", c.Key.path("config"), data)
	if c.Expect == nil {
		version, err := c.baseVersion(a, data)
		if err != nil {
			return err
		}
		ch.requireVersion(version)
	}
	return a.applyChange(ch)
}

// baseVersion returns the version that the file is meant to replace. The file
// contains the id of the change that was in force when the object was read. If
// another change is in force now, applying the file would undo changes that
// others have made since then, so baseVersion returns an error. There is no error
// if --force is given, or if the change of --change-id is already in the object's
// history: then the command is a repetition, which the router recognises.
func (c configApply) baseVersion(a *app, data []byte) (uint64, error) {
	if c.Create {
		return 0, nil
	}
	current, err := a.getObjectOrEmpty(c.Key)
	if err != nil || c.Force {
		return current.Version, err
	}
	fileChangeID := changeIDOf(data)
	if fileChangeID == "" {
		return 0, usageError("the file has no change_id, so the version it replaces is not known: give --expect, --create or --force")
	}
	changes, _ := config.HistoryOf(current.Key, current.Value)
	_, alreadyApplied := config.FindChange(changes, c.ChangeID)
	if fileChangeID == changeIDOf(current.Value) || alreadyApplied {
		return current.Version, nil
	}
	return 0, newStaleFileError(current, fileChangeID)
}

func changeIDOf(value []byte) string {
	var object struct {
		ChangeID string `json:"change_id"`
	}
	_ = json.Unmarshal(value, &object)
	return object.ChangeID
}

// newStaleFileError returns the conflict that the router would report if it knew
// the version that the file was made from.
func newStaleFileError(current admin.ObjectDocument, fileChangeID string) error {
	changes, _ := config.HistoryOf(current.Key, current.Value)
	expected, _ := config.VersionOf(changes, fileChangeID, current.Version)
	conflict := &admin.Conflict{Key: current.Key, Expected: expected, Version: current.Version}
	if len(changes) > 0 {
		conflict.Winner = &changes[len(changes)-1]
	}
	entry := result.Lookup(result.ConfigConflict)
	return &problemError{Problem: admin.Problem{
		Title: entry.Name, Status: entry.Status, Code: int(entry.Code), Ran: entry.Ran.String(),
		Detail: "the file was made from another version; nothing was changed", Conflict: conflict,
	}}
}

// readWithCurrent returns the file's content and the object in force. The object
// is empty if it does not exist.
func (f fileArgs) readWithCurrent(a *app) (data []byte, current admin.ObjectDocument, err error) {
	if data, err = f.readFile(); err != nil {
		return nil, current, err
	}
	current, err = a.getObjectOrEmpty(f.Key)
	return data, current, err
}

type configValidate struct {
	fileArgs
}

func (c configValidate) Run(a *app) error {
	data, current, err := c.readWithCurrent(a)
	if err != nil {
		return err
	}
	ch := newChange("PUT", c.Key.path("config"), data)
	ch.requireVersion(current.Version)
	ch.query.Set("dry_run", "true")
	return a.applyChange(ch)
}

type configHistory struct {
	Key objectKey `arg:"" help:"root or teams/NAME."`
}

func (c configHistory) Run(a *app) error {
	var doc admin.HistoryDocument
	if err := a.client.get(a.ctx, c.Key.path("history"), &doc); err != nil {
		return err
	}
	return a.out.show(doc, func() {
		var rows [][]string
		for _, record := range doc.Changes {
			rows = append(rows, formatRow(record.Version, record.At, record.By, record.Summary, record.ID))
		}
		a.out.printTable([]string{"VERSION", "AT", "BY", "CHANGE", "ID"}, rows)
	})
}
