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

// cluster runs three controllers as separate processes on loopback, with fakes of the
// platform's services and of the workers.
type cluster struct {
	t             *testing.T
	dir, bin      string
	platform      *server.Platform
	addrs         map[protocol.NodeName]string
	settingsFiles map[protocol.NodeName]string // paths
	running       map[protocol.NodeName]*exec.Cmd
}

// freeAddr returns an unused address on loopback.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newCluster builds the program and starts the controllers, with the given number of
// machines in the cloud.
func newCluster(t *testing.T, machines int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), addrs: map[protocol.NodeName]string{}, settingsFiles: map[protocol.NodeName]string{}, running: map[protocol.NodeName]*exec.Cmd{}}
	c.bin = filepath.Join(c.dir, "damsonkeel")
	if out, err := exec.Command("go", "build", "-o", c.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	peers := map[protocol.NodeName]string{}
	names := []protocol.NodeName{"node-0", "node-1", "node-2"}
	for _, n := range names {
		c.addrs[n], peers[n] = freeAddr(t), freeAddr(t)
	}
	types := []protocol.TypeInfo{{Name: "m4", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.5, BootS: 2, AllowZones: []protocol.Zone{"a", "b"}}}
	var err error
	if c.platform, err = server.New(types, machines, c.addrs); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.platform.Close)
	c.writeFile("operator.xml", "<damsonkeel><operatorKeys>"+filepath.Join(c.dir, "keys")+"</operatorKeys></damsonkeel>")
	for _, n := range names {
		text := fmt.Sprintf("host_name = %q\ndomain = \"a\"\nserve_on = %q\npeer_bind = %q\n", n, c.addrs[n], peers[n])
		for _, m := range names {
			if m != n {
				text += fmt.Sprintf("[[members]]\nhost_name = %q\ndomain = \"a\"\npeer_addr = %q\n", m, peers[m])
			}
		}
		text += fmt.Sprintf("[services]\ncloud = %q\nstate = %q\n", c.platform.Cloud, c.platform.State) + fmt.Sprintf(`[settings]
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
		c.settingsFiles[n] = c.writeFile(string(n)+".toml", text)
		c.start(n)
	}
	t.Cleanup(func() {
		for n := range c.running {
			c.kill(n)
		}
	})
	return c
}

// writeFile writes a file in the cluster's directory and returns its path.
func (c *cluster) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// newKey writes a keys file with a new operator's key.
func (c *cluster) newKey() {
	key, err := exec.Command(c.bin, "key", "ops").Output()
	if err != nil {
		c.t.Fatal(err)
	}
	c.writeFile("keys", string(key))
}

// start starts the process of a controller.
func (c *cluster) start(n protocol.NodeName) {
	cmd := exec.Command(c.bin, "--config", c.settingsFiles[n], "--operator", filepath.Join(c.dir, "operator.xml"))
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.running[n] = cmd
}

// kill terminates the process of a controller by SIGKILL.
func (c *cluster) kill(n protocol.NodeName) {
	cmd := c.running[n]
	delete(c.running, n)
	_ = cmd.Process.Kill()
	_ = cmd.Wait() // the error only reports the kill
}

// command runs an operators' command and returns the printed reply and the exit code.
func (c *cluster) command(args ...string) (operatorapi.Reply, int) {
	var controllers []string
	for _, a := range c.addrs {
		controllers = append(controllers, a)
	}
	cmd := exec.Command(c.bin, append(args, "--output", "json", "--controller", strings.Join(controllers, ","), "--key", filepath.Join(c.dir, "keys"))...)
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

// submit submits a job, with retries until a controller accepts it.
func (c *cluster) submit(j protocol.Job) {
	c.platform.RegisterJob(j)
	body, err := protocol.EncodeSubmission(j)
	if err != nil {
		c.t.Fatal(err)
	}
	for range 60 {
		for _, addr := range c.addrs {
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

// controllers returns the controllers by name, as listed by the shares command.
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

// waitUntil waits until a condition is met, and fails the test after the timeout.
func (c *cluster) waitUntil(condition string, timeout time.Duration, isMet func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); !isMet(); time.Sleep(300 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", timeout, condition)
		}
	}
}
