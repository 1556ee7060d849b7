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

// objectKey is a key as operators write it: root or teams/NAME.
type objectKey string

// path returns the object's path below a resource of the API.
func (k objectKey) path(resource string) string {
	short := strings.TrimPrefix(string(k), config.Prefix)
	return pathOf(append([]string{resource}, strings.Split(short, "/")...)...)
}

func (a *app) object(key objectKey) (admin.ObjectDocument, error) {
	var doc admin.ObjectDocument
	err := a.client.get(a.ctx, key.path("config"), &doc)
	return doc, err
}

// objectOrNone returns a document of version zero if there is no object.
func (a *app) objectOrNone(key objectKey) (admin.ObjectDocument, error) {
	doc, err := a.object(key)
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
	doc, err := a.object(c.Key)
	if err != nil {
		return err
	}
	return a.out.show(doc, func() {
		// The value alone, so that it can be edited and applied; its change
		// id tells apply which version it was.
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
		a.out.table([]string{"OBJECT", "VERSION", "CHANGED BY", "AT", "CHANGE"}, versionRows(list.Objects))
		for _, r := range list.Refused {
			fmt.Fprintf(a.out.w, "refused: %s version %d: %s\n", r.Key, r.Version, r.Reason)
		}
	})
}

func versionRows(objects []admin.ObjectVersion) [][]string {
	var rows [][]string
	for _, o := range objects {
		by := config.Change{}
		if o.Change != nil {
			by = *o.Change
		}
		rows = append(rows, cells(o.Key, o.Version, by.By, by.At, by.Summary))
	}
	return rows
}

// fileArgs name an object and the file that is to replace it.
type fileArgs struct {
	Key  objectKey `arg:"" help:"root or teams/NAME."`
	File string    `arg:"" help:"File with the whole object; - reads the standard input."`
}

func (f fileArgs) read() ([]byte, error) {
	if f.File == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, config.MaxObjectBytes+1))
		return data, asUsage(err)
	}
	data, err := os.ReadFile(f.File)
	return data, asUsage(err)
}

func asUsage(err error) error {
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
	data, err := c.read()
	if err != nil {
		return err
	}
	ch := c.newChange("PUT", c.Key.path("config"), data)
	if c.Expect == nil {
		version, err := c.base(a, data)
		if err != nil {
			return err
		}
		ch.expect(version)
	}
	return a.change(ch)
}

// base finds the version that the file was made from. The file names it by
// the change id it was read with; if another change is in force by now, the
// operator has edited an old copy and would undo what others did since.
func (c configApply) base(a *app, data []byte) (uint64, error) {
	if c.Create {
		return 0, nil
	}
	present, err := a.objectOrNone(c.Key)
	if err != nil || c.Force {
		return present.Version, err
	}
	read := changeIDOf(data)
	if read == "" {
		return 0, usageError("the file has no change_id, so the version it replaces is not known: give --expect, --create or --force")
	}
	changes, _ := config.HistoryOf(present.Key, present.Value)
	_, repeated := config.FindChange(changes, c.ChangeID)
	if read == changeIDOf(present.Value) || repeated {
		return present.Version, nil
	}
	return 0, staleFile(present, read)
}

func changeIDOf(value []byte) string {
	var carrier struct {
		ChangeID string `json:"change_id"`
	}
	_ = json.Unmarshal(value, &carrier)
	return carrier.ChangeID
}

// staleFile is the conflict that the router would report if it knew what the
// file was made from.
func staleFile(present admin.ObjectDocument, read string) error {
	changes, _ := config.HistoryOf(present.Key, present.Value)
	expected, _ := config.VersionOf(changes, read, present.Version)
	conflict := &admin.Conflict{Key: present.Key, Expected: expected, Version: present.Version}
	if len(changes) > 0 {
		conflict.Winner = &changes[len(changes)-1]
	}
	entry := result.Lookup(result.ConfigConflict)
	return &problemError{Problem: admin.Problem{
		Title: entry.Name, Status: entry.Status, Code: int(entry.Code), Ran: entry.Ran.String(),
		Detail: "the file was made from another version; nothing was changed", Conflict: conflict,
	}}
}

// withPresent returns the file's content and the object in force, if any.
func (f fileArgs) withPresent(a *app) (data []byte, present admin.ObjectDocument, err error) {
	if data, err = f.read(); err != nil {
		return nil, present, err
	}
	present, err = a.objectOrNone(f.Key)
	return data, present, err
}

type configValidate struct {
	fileArgs
}

func (c configValidate) Run(a *app) error {
	data, present, err := c.withPresent(a)
	if err != nil {
		return err
	}
	ch := newChange("PUT", c.Key.path("config"), data)
	ch.expect(present.Version)
	ch.query.Set("dry_run", "true")
	return a.change(ch)
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
			rows = append(rows, cells(record.Version, record.At, record.By, record.Summary, record.ID))
		}
		a.out.table([]string{"VERSION", "AT", "BY", "CHANGE", "ID"}, rows)
	})
}
