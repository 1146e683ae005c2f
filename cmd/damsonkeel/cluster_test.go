package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

// cluster is three controllers as processes of their own, on loopback, with fakes of the
// services and the workers.
type cluster struct {
	t        *testing.T
	dir, bin string
	p        *server.Platform
	nodes    map[protocol.NodeName]string
	settings map[protocol.NodeName]string
	running  map[protocol.NodeName]*exec.Cmd
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newCluster(t *testing.T, machines int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), nodes: map[protocol.NodeName]string{}, settings: map[protocol.NodeName]string{}, running: map[protocol.NodeName]*exec.Cmd{}}
	c.bin = filepath.Join(c.dir, "damsonkeel")
	if out, err := exec.Command("go", "build", "-o", c.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	peers := map[protocol.NodeName]string{}
	names := []protocol.NodeName{"node-0", "node-1", "node-2"}
	for _, n := range names {
		c.nodes[n], peers[n] = freeAddr(t), freeAddr(t)
	}
	types := []protocol.TypeInfo{{Name: "m4", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.5, BootS: 2, AllowZones: []protocol.Zone{"a", "b"}}}
	var err error
	if c.p, err = server.New(types, machines, c.nodes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.p.Close)
	c.write("operator.xml", "<damsonkeel><operatorKeys>"+filepath.Join(c.dir, "keys")+"</operatorKeys></damsonkeel>")
	for _, n := range names {
		text := fmt.Sprintf("host_name = %q\ndomain = \"a\"\nserve_on = %q\npeer_bind = %q\n", n, c.nodes[n], peers[n])
		for _, m := range names {
			if m != n {
				text += fmt.Sprintf("[[members]]\nhost_name = %q\ndomain = \"a\"\npeer_addr = %q\n", m, peers[m])
			}
		}
		text += fmt.Sprintf("[services]\ncloud = %q\nstate = %q\n", c.p.Cloud, c.p.State) + fmt.Sprintf(`[settings]
count = 3
zones = ["a", "b"]
clock_error_ms = 50
[[settings.teams]]
name = "free"
[settings.workers]
report_s = %v
lease_s = %v
gang_wait_s = 60
gang_peer_s = 5
cancel_s = 40
[settings.state]
rps = 400
write_rps = 200
value_kb = 16
txn_ops = 12
[settings.cloud]
rps = 5
list_lag_s = 1
[settings.limits]
cpu = 1
ram_mb = 512
max_connections = 400
`, server.HeartbeatSeconds, server.LeaseSeconds)
		c.settings[n] = c.write(string(n)+".toml", text)
		c.start(n)
	}
	t.Cleanup(func() {
		for n := range c.running {
			c.kill(n)
		}
	})
	return c
}

func (c *cluster) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// newKey makes the operator's key.
func (c *cluster) newKey() {
	key, err := exec.Command(c.bin, "key", "ops").Output()
	if err != nil {
		c.t.Fatal(err)
	}
	c.write("keys", string(key))
}

func (c *cluster) start(n protocol.NodeName) {
	cmd := exec.Command(c.bin, "--config", c.settings[n], "--operator", filepath.Join(c.dir, "operator.xml"))
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.running[n] = cmd
}

func (c *cluster) kill(n protocol.NodeName) {
	cmd := c.running[n]
	delete(c.running, n)
	_ = cmd.Process.Kill()
	_ = cmd.Wait() // it says that it was killed
}

// command runs an operators' command and returns what it prints and its exit code.
func (c *cluster) command(args ...string) (operatorapi.Reply, int) {
	var addrs []string
	for _, a := range c.nodes {
		addrs = append(addrs, a)
	}
	cmd := exec.Command(c.bin, append(args, "--output", "json", "--controller", strings.Join(addrs, ","), "--key", filepath.Join(c.dir, "keys"))...)
	out, err := cmd.Output()
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	var reply operatorapi.Reply
	if err := json.Unmarshal(out, &reply); err != nil && code == 0 {
		c.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return reply, code
}

// submit submits a job until it is accepted.
func (c *cluster) submit(j protocol.Job) {
	c.p.Submitted(j)
	body, err := protocol.EncodeSubmission(j)
	if err != nil {
		c.t.Fatal(err)
	}
	for range 60 {
		for _, addr := range c.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			m, err := transport.NewClient(addr).Do(ctx, "POST", "/work", body)
			cancel()
			if err == nil && (m.Status == 200 || m.Status == 201) {
				return
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.t.Fatalf("job %s was not accepted", j.ID)
}

// controllers lists the controllers with their shards, by the command.
func (c *cluster) controllers() map[protocol.NodeName]operatorapi.Controller {
	c.t.Helper()
	reply, code := c.command("shares", "list")
	if code != 0 {
		c.t.Fatalf("shares list: exit %d, %+v", code, reply)
	}
	byName := map[protocol.NodeName]operatorapi.Controller{}
	for _, controller := range reply.Controllers {
		byName[controller.Name] = controller
	}
	return byName
}

// waitUntil waits until a condition holds.
func (c *cluster) waitUntil(condition string, timeout time.Duration, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); !holds(); time.Sleep(300 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", timeout, condition)
		}
	}
}
