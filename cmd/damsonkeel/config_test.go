package main

import (
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

// TestConfigurationChangesAcrossProcesses runs three controllers as processes on loopback
// and changes their configuration through the command line, also while one of them is
// killed. It checks that changes come into force on all controllers, and that an invalid
// change is refused with a reason and the exit code for it.
func TestConfigurationChangesAcrossProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about 40 seconds")
	}
	t.Parallel()
	c := newCluster(t, 4)
	c.newKey()
	run := func(want int, args ...string) operatorapi.Reply {
		t.Helper()
		reply, code := c.command(append([]string{"config"}, args...)...)
		if code != want {
			t.Fatalf("%v: exit %d, want %d: %+v", args, code, want, reply)
		}
		return reply
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		reply, code := c.command("config", "set", "team/extra", "cpus=2", "cpus_max=3", "--id", "first", "--wait")
		if code == 0 {
			if reply.Config.Revision != 1 || !strings.HasPrefix(reply.Reason, "in force") {
				t.Fatalf("%+v", reply)
			}
			t.Log(reply.Reason)
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("exit %d: %+v", code, reply)
		}
	}
	if reply := run(0, "set", "team/extra", "cpus=2", "cpus_max=3", "--id", "first"); reply.Config.Revision != 1 {
		t.Errorf("repeated: %+v", reply)
	}
	job := protocol.Job{ID: "job-extra-1", Class: "c", Team: "extra", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 3}
	c.submit(job)
	c.waitUntil("the new team's job runs", 60*time.Second, func() bool { return len(c.platform.FirstStarts(job.ID)) == 6 })

	if reply := run(exitRefused, "set", "team/free", "cpus_max=3"); !strings.Contains(reply.Reason, "several owners") {
		t.Errorf("%+v", reply)
	}
	if reply := run(exitRefused, "set", "team/extra", "cpus_max=4", "--revision", "7"); !strings.Contains(reply.Reason, "revision 1 is in force") {
		t.Errorf("%+v", reply)
	}
	invalidFile := c.writeFile("half.toml", "[[teams]]\nname = \"extra\"\ncpus_max = 9\n[[zones]]\nname = \"nowhere\"\nclosed = true\n")
	if reply := run(exitRefused, "apply", invalidFile); !strings.Contains(reply.Reason, "zone/nowhere") {
		t.Errorf("%+v", reply)
	}
	validFile := c.writeFile("good.toml", "revision = 1\n[[teams]]\nname = \"extra\"\nclosed = true\n[[classes]]\nname = \"c\"\n[[classes.objectives]]\nkind = \"wait\"\nwithin_s = 2.4\nshare = 0.9\n[settings]\nidleReturn = \"50s\"\n")
	if reply := run(0, "apply", validFile, "--dry-run"); len(reply.Config.Changes) != 3 {
		t.Errorf("%+v", reply.Config)
	}
	c.kill("node-1")
	start := time.Now()
	reply := run(0, "apply", validFile, "--wait")
	if reply.Config.Revision != 2 || time.Since(start) > 12*time.Second {
		t.Errorf("%+v after %v", reply, time.Since(start))
	}
	t.Log(reply.Reason)
	c.start("node-1")
	c.waitUntil("all controllers act on revision 2", 30*time.Second, func() bool {
		reply := run(0, "status")
		for _, c := range reply.Config.Controllers {
			if !c.Member || c.Revision != 2 {
				return false
			}
		}
		return len(reply.Config.Controllers) == 3
	})
	if reply := run(0, "get", "team/extra"); len(reply.Config.Entries) != 1 || !reply.Config.Entries[0].Team.Closed || reply.Config.Entries[0].Team.MaxCPUs != 3 {
		t.Errorf("%+v", reply.Config)
	}
	if reply := run(0, "history"); len(reply.Config.History) != 2 || reply.Config.History[0].By != "ops" || len(reply.Config.History[0].Changes) != 3 {
		t.Errorf("%+v", reply.Config)
	}
	run(exitNotFound, "get", "team/nobody")
}
