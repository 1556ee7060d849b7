package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/stretchr/testify/require"
)

// recording stores the requests and answers of callers next to the routers' own
// traces. At the end of every test, all of them are replayed and checked.
type recording struct {
	dir     string
	file    *os.File
	callers *trace.Recorder
}

func newRecording(t *testing.T) *recording {
	dir := t.TempDir()
	if keepDir := os.Getenv("FIGSTILE_TEST_KEEP"); keepDir != "" {
		dir = filepath.Join(keepDir, t.Name())
		require.NoError(t, os.MkdirAll(dir, 0o755))
	}
	file, err := os.Create(filepath.Join(dir, "callers.jsonl"))
	require.NoError(t, err)
	return &recording{dir: dir, file: file, callers: trace.NewRecorder(file, "", 0)}
}

func (rec *recording) recordCaller(r *router, workspace, path, body string, sent time.Time, key string, got answer) {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	rec.callers.Record(trace.CallerRecord{
		Router:       state.Router(r.name),
		Workspace:    state.Workspace(workspace),
		Service:      state.Service(service),
		Key:          key,
		Repeatable:   key == "" && service == "redaccion-figstile",
		Sent:         sent,
		Result:       result.Code(got.code),
		Ran:          parseRan(got.ran),
		BodyDigest:   upstream.Digest([]byte(body)),
		AnswerDigest: answerDigest(service, got),
		AnswerWhole:  got.err == nil && got.status == http.StatusOK,
	})
}

func parseRan(header string) result.Ran {
	switch header {
	case "no":
		return result.RanNo
	case "yes":
		return result.RanYes
	default:
		return result.RanUnknown
	}
}

// answerDigest returns the digest of the parts of an answer that are the same
// in every run.
func answerDigest(service string, got answer) string {
	if got.err != nil || got.status != http.StatusOK {
		return ""
	}
	resp := &http.Response{StatusCode: got.status, Header: got.header, Body: io.NopCloser(strings.NewReader(got.body))}
	if service == "kiosco-web" {
		read, err := worker.Read(resp)
		return digestOrError(read.Digest, err)
	}
	read, err := engine.Read(resp)
	return digestOrError(read.Text, err)
}

func digestOrError(content string, err error) string {
	if err != nil {
		return "unreadable: " + err.Error()
	}
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:])
}

// replayAndCheck stops the routers, adds the upstreams' ledgers and runs
// "figstile replay" on the whole directory.
func (rec *recording) replayAndCheck(t *testing.T, f *standardFleet) {
	for _, r := range f.routers {
		r.thaw()
		r.terminate()
	}
	for _, r := range f.routers {
		<-r.done
	}
	for i, url := range f.engineURLs {
		rec.recordLedger(t, state.Upstream("engine-"+strconv.Itoa(i+1)), url, "redaccion-figstile")
	}
	rec.recordLedger(t, "worker-1", f.workerURL, "kiosco-web")
	require.NoError(t, rec.callers.Close())
	require.NoError(t, rec.file.Close())
	out, err := exec.Command(cliBinary, "replay", rec.dir).CombinedOutput()
	require.NoError(t, err, string(out))
	t.Logf("%s", out)
}

func (rec *recording) recordLedger(t *testing.T, name state.Upstream, url string, service state.Service) {
	for _, e := range ledger(t, url) {
		if e.Started.IsZero() {
			continue
		}
		rec.callers.Record(trace.UpstreamRecord{
			Upstream:     name,
			Boot:         e.Boot,
			Attempt:      attemptID(t, e.Attempt),
			Service:      service,
			Key:          e.IdempotencyKey,
			BodyDigest:   e.Digest,
			AnswerDigest: ledgerDigest(service, e),
			Received:     e.Received,
			Started:      e.Started,
			Finished:     finishTime(e),
		})
	}
}

func ledgerDigest(service state.Service, e upstream.Entry) string {
	if service == "kiosco-web" {
		return digestOrError(e.Digest, nil)
	}
	return digestOrError(engine.AnswerText(e.Digest, e.Units), nil)
}

func finishTime(e upstream.Entry) time.Time {
	if e.Outcome != upstream.Finished {
		return time.Time{}
	}
	return e.Ended
}

func attemptID(t *testing.T, text string) state.AttemptID {
	parts := strings.Split(text, ".")
	require.GreaterOrEqual(t, len(parts), 3, text)
	n := len(parts)
	incarnation, err := strconv.ParseUint(parts[n-2], 10, 64)
	require.NoError(t, err)
	sequence, err := strconv.ParseUint(parts[n-1], 10, 64)
	require.NoError(t, err)
	return state.AttemptID{
		Router:      state.Router(strings.Join(parts[:n-2], ".")),
		Incarnation: state.Incarnation(incarnation),
		Sequence:    sequence,
	}
}

// setFaults changes the faults that a stand-in simulates.
func setFaults(t *testing.T, baseURL string, faults any) {
	t.Helper()
	send(t, http.MethodPut, baseURL+"/faults", faults)
}

func send(t *testing.T, method, url string, body any) {
	t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(method, url, strings.NewReader(string(encoded)))
	require.NoError(t, err)
	status, answer := doRequest(t, req)
	require.Less(t, status, http.StatusMultipleChoices, answer)
}
