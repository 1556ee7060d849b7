package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
	"github.com/stretchr/testify/require"
)

// roleVariable is the environment variable that makes the test binary run as a
// stand-in instead of running the tests. The stand-ins are separate processes
// without needing a third binary.
const roleVariable = "FIGSTILE_TEST_ROLE"

// optionsVariable is the environment variable that holds the stand-in's options
// as JSON.
const optionsVariable = "FIGSTILE_TEST_OPTIONS"

var (
	daemonBinary string
	cliBinary    string
)

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(runStandIn(role))
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "figstile-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/figstiled", "../cmd/figstile")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	daemonBinary = filepath.Join(dir, "figstiled")
	cliBinary = filepath.Join(dir, "figstile")
	return m.Run()
}

type standIn interface {
	Start(addr string) (baseURL string, stop func(), err error)
}

// runStandIn serves until the parent process closes its end of standard input.
func runStandIn(role string) int {
	server, err := newStandIn(role, os.Getenv(optionsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	baseURL, stop, err := server.Start("127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Println("listening=" + baseURL)
	_, _ = io.Copy(io.Discard, os.Stdin)
	stop()
	return 0
}

func newStandIn(role, options string) (standIn, error) {
	switch role {
	case "platform":
		return platform.New(platform.Options{}), nil
	case "engine":
		var opts engineOptions
		err := json.Unmarshal([]byte(options), &opts)
		return engine.New(opts.build()), err
	case "worker":
		var opts workerOptions
		err := json.Unmarshal([]byte(options), &opts)
		return worker.New(opts.build()), err
	default:
		return nil, fmt.Errorf("unknown role of a stand-in: %q", role)
	}
}

// process is a child process of a test.
type process struct {
	name  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	lines *lineBuffer
	done  chan struct{}
	err   error
}

// start starts a program. The program is killed when the test ends.
func start(t *testing.T, name string, cmd *exec.Cmd) *process {
	t.Helper()
	p := &process{name: name, cmd: cmd, lines: newLineBuffer(), done: make(chan struct{})}
	stdin, err := cmd.StdinPipe()
	require.NoError(t, err)
	p.stdin = stdin
	cmd.Stdout = p.lines
	cmd.Stderr = p.lines
	require.NoError(t, cmd.Start())
	go func() {
		p.err = cmd.Wait()
		p.lines.close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s printed:\n%s", name, p.lines.text())
		}
	})
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process with SIGSTOP, which it can't notice; thaw resumes
// it.
func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *process) thaw()   { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// terminate requests a graceful stop with SIGTERM.
func (p *process) terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// awaitValue waits for a line of output that contains the key and returns its
// value.
func (p *process) awaitValue(t *testing.T, key string) string {
	t.Helper()
	value, ok := p.lines.awaitValue(key + "=")
	if !ok {
		t.Fatalf("%s ended without printing %s=:\n%s", p.name, key, p.lines.text())
	}
	return value
}

// lineBuffer collects the output of a process and lets readers wait for a key
// in it.
type lineBuffer struct {
	mu     sync.Mutex
	cond   *sync.Cond
	buf    bytes.Buffer
	closed bool
}

func newLineBuffer() *lineBuffer {
	b := &lineBuffer{}
	b.cond = sync.NewCond(&b.mu)
	return b
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cond.Broadcast()
	return b.buf.Write(p)
}

func (b *lineBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.cond.Broadcast()
}

func (b *lineBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (b *lineBuffer) awaitValue(prefix string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if value, ok := valueAfter(b.buf.Bytes(), prefix); ok {
			return value, true
		}
		if b.closed {
			return "", false
		}
		b.cond.Wait()
	}
}

func valueAfter(out []byte, prefix string) (string, bool) {
	scanner := bufio.NewScanner(bytes.NewReader(out))
	for scanner.Scan() {
		for _, field := range strings.Fields(scanner.Text()) {
			if value, ok := strings.CutPrefix(field, prefix); ok {
				return value, true
			}
		}
	}
	return "", false
}

// engineOptions and workerOptions are the options of the stand-ins that can be
// passed as JSON.
type engineOptions struct {
	Upstream upstream.Faults
	Name     string
	Slots    int
	// TokenMillis is the delay before each token, in milliseconds.
	TokenMillis int
	// Ignore makes the engine ignore fencing numbers.
	Ignore bool
}

type workerOptions struct {
	Upstream upstream.Faults
	Name     string
	Slots    int
}
