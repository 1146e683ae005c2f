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
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

// real is three controllers as processes of their own, on loopback, with
// stand-ins for the services and the workers.
type real struct {
	t        *testing.T
	dir, bin string
	p        *server.Platform
	nodes    map[protocol.NodeName]string
	settings map[protocol.NodeName]string
	running  map[protocol.NodeName]*exec.Cmd
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newReal(t *testing.T, machines int) *real {
	r := &real{t: t, dir: t.TempDir(), nodes: map[protocol.NodeName]string{}, settings: map[protocol.NodeName]string{}, running: map[protocol.NodeName]*exec.Cmd{}}
	r.bin = filepath.Join(r.dir, "damsonkeel")
	if out, err := exec.Command("go", "build", "-o", r.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	peers := map[protocol.NodeName]string{}
	names := []protocol.NodeName{"node-0", "node-1", "node-2"}
	for _, n := range names {
		r.nodes[n], peers[n] = freeAddr(t), freeAddr(t)
	}
	types := []protocol.TypeInfo{{Name: "m4", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.5, BootS: 2, AllowZones: []protocol.Zone{"a", "b"}}}
	var err error
	if r.p, err = server.New(types, machines, r.nodes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.p.Close)
	r.write("operator.xml", "<damsonkeel><operatorKeys>"+filepath.Join(r.dir, "keys")+"</operatorKeys></damsonkeel>")
	for _, n := range names {
		text := fmt.Sprintf("host_name = %q\ndomain = \"a\"\nserve_on = %q\npeer_bind = %q\n", n, r.nodes[n], peers[n])
		for _, m := range names {
			if m != n {
				text += fmt.Sprintf("[[members]]\nhost_name = %q\ndomain = \"a\"\npeer_addr = %q\n", m, peers[m])
			}
		}
		text += fmt.Sprintf("[services]\ncloud = %q\nstate = %q\n", r.p.Cloud, r.p.State) + fmt.Sprintf(`[settings]
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
		r.settings[n] = r.write(string(n)+".toml", text)
		r.start(n)
	}
	t.Cleanup(func() {
		for n := range r.running {
			r.kill(n)
		}
	})
	return r
}

func (r *real) write(name, text string) string {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// newKey makes the operator's key.
func (r *real) newKey() {
	key, err := exec.Command(r.bin, "key", "ops").Output()
	if err != nil {
		r.t.Fatal(err)
	}
	r.write("keys", string(key))
}

func (r *real) start(n protocol.NodeName) {
	cmd := exec.Command(r.bin, "--config", r.settings[n], "--operator", filepath.Join(r.dir, "operator.xml"))
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.running[n] = cmd
}

func (r *real) kill(n protocol.NodeName) {
	cmd := r.running[n]
	delete(r.running, n)
	_ = cmd.Process.Kill()
	_ = cmd.Wait() // it says that it was killed
}

// command runs an operators' command and returns what it prints and its exit code.
func (r *real) command(args ...string) (operatorapi.Reply, int) {
	var addrs []string
	for _, a := range r.nodes {
		addrs = append(addrs, a)
	}
	cmd := exec.Command(r.bin, append(args, "--output", "json", "--controller", strings.Join(addrs, ","), "--key", filepath.Join(r.dir, "keys"))...)
	out, err := cmd.Output()
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	var reply operatorapi.Reply
	if err := json.Unmarshal(out, &reply); err != nil && code == 0 {
		r.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return reply, code
}

// submit submits a job until it is accepted.
func (r *real) submit(j protocol.Job) {
	r.p.Submitted(j)
	body, err := protocol.EncodeSubmission(j)
	if err != nil {
		r.t.Fatal(err)
	}
	for range 60 {
		for _, addr := range r.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			m, err := transport.NewClient(addr).Do(ctx, "POST", "/work", body)
			cancel()
			if err == nil && (m.Status == 200 || m.Status == 201) {
				return
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.t.Fatalf("job %s was not accepted", j.ID)
}

// TestReservationForReal: three real controllers with stand-in workers, on
// loopback at real speed, through the command line. The fleet is kept full of
// work that runs longer than the time until the reservation; all controllers are
// killed while its room is held. Its job starts in time all the same.
func TestReservationForReal(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about two minutes")
	}
	t.Parallel()
	r := newReal(t, 4)
	r.newKey()
	job := func(i int, class string, tasks uint32, cpus, s float64) protocol.Job {
		return protocol.Job{ID: protocol.JobID(fmt.Sprintf("job-%s-%d", class, i)), Class: class, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: s}
	}
	r.submit(job(0, "first", 16, 1, 10)) // all that there is to rent is up and busy then
	start := time.Now().Add(75 * time.Second).Truncate(time.Second)
	add := []string{"reserve", "add", "dawn", "--class", "dawn", "--tasks", "6", "--cpus", "2", "--memory", "1", "--hold", "1m", "--length", "20s", "--when", start.UTC().Format("2006-01-02 at 15:04:05")}
	if reply, code := r.command(append(add, "--dry-run")...); code != 0 || reply.Reservations[0].State != record.Proposed {
		t.Fatalf("dry run: %d, %+v", code, reply)
	}
	if reply, code := r.command(append(add, "--id", "one")...); code != 0 {
		t.Fatalf("add: %d, %+v", code, reply)
	}
	if _, code := r.command(append(add, "--id", "one")...); code != 0 {
		t.Errorf("repeated: exit %d", code)
	}
	if _, code := r.command(append(add, "--id", "two")...); code != exitRefused {
		t.Errorf("of the same name: exit %d", code)
	}
	if reply, code := r.command("window", "add", "all", "--length", "1h", "--when", start.UTC().Format("2006-01-02 at 15:04:05")); code != exitRefused || len(reply.InTheWay) != 1 {
		t.Errorf("a window over it: exit %d, %+v", code, reply)
	}
	if _, code := r.command("reserve", "show", "dusk"); code != exitNotFound {
		t.Errorf("nothing of the name: exit %d", code)
	}
	// Long work keeps coming, three times as long as it takes to the reservation
	// by its estimate, and short work that fits before it.
	for i := 0; time.Until(start) > 12*time.Second; i++ {
		r.submit(job(i, "long", 2, 1, 60))
		r.submit(job(i, "short", 4, 1, 2))
		time.Sleep(3 * time.Second)
	}
	for n := range r.nodes {
		r.kill(n)
	}
	for n := range r.nodes {
		r.start(n)
	}
	time.Sleep(time.Until(start))
	r.submit(job(0, "dawn", 6, 2, 15))
	for deadline := start.Add(60 * time.Second); len(r.p.Started("job-dawn-0")) < 6; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			reply, _ := r.command("reserve", "show", "dawn")
			t.Fatalf("%d of 6 tasks started within a minute: %+v", len(r.p.Started("job-dawn-0")), reply.Reservations)
		}
	}
	t.Logf("all 6 started %v after its time", time.Since(start).Round(100*time.Millisecond))
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		reply, code := r.command("reserve", "show", "dawn")
		if code == 0 && reply.Reservations[0].State == record.Used {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("not used: %d, %+v", code, reply)
		}
	}
	if reply, code := r.command("reserve", "list"); code != 0 || len(reply.Reservations) != 1 {
		t.Errorf("list: %d, %+v", code, reply)
	}
	if _, code := r.command("reserve", "cancel", "dawn"); code != 0 {
		t.Errorf("cancel: exit %d", code)
	}
	r.write("keys", "ops "+strings.Repeat("00", 32)+"\n") // another key: of who asks and of the controllers
	if _, code := r.command("reserve", "list"); code != 0 {
		t.Errorf("with a changed key: exit %d", code)
	}
}
