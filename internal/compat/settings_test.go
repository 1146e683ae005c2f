package compat

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// checkSettings compares parsed settings with the expected ones. Every field of the
// expected settings must be set, so that the golden file covers all fields.
func checkSettings(t *testing.T, got, want any) {
	t.Helper()
	checkEqual(t, "parsed settings", got, want)
	if zero := zeroFields(reflect.ValueOf(want), ""); len(zero) > 0 {
		t.Errorf("the golden file does not set %v", zero)
	}
}

// TestPlatformSettings checks that the platform's settings file is parsed as before.
func TestPlatformSettings(t *testing.T) {
	got, err := config.Parse(readGolden(t, "settings/platform.toml"))
	if err != nil {
		t.Fatal(err)
	}
	checkSettings(t, *got, config.Settings{
		Name: "a", Zone: "x", Listen: "127.0.0.1:7001", PeerBind: "127.0.0.1:7002",
		Members: []config.Member{
			{Name: "b", Zone: "y", Peer: "127.0.0.1:7003"},
			{Name: "c", Zone: "z", Peer: "127.0.0.1:7004"},
		},
		Services: config.Services{Cloud: "127.0.0.1:7005", State: "127.0.0.1:7006"},
		Site: config.Site{
			Count: 3, Zones: []protocol.Zone{"x", "y", "z"}, ClockErrorMS: 51.5,
			Teams: []config.Team{
				{Name: "red", CPUs: 101.5, MaxCPUs: 102.5, GPUs: 103.5, MaxGPUs: 104.5},
				{Name: "blue", CPUs: 105.5, MaxCPUs: 106.5, GPUs: 107.5, MaxGPUs: 108.5},
			},
			Objectives: []config.Objective{{Kind: "start", Class: "nightly", WithinS: 61.5, Share: 0.75, Times: 2.5}},
			Workers:    config.Workers{ReportS: 1.5, LeaseS: 12.5, GangWaitS: 13.5, GangPeerS: 14.5, CancelS: 31.5},
			State:      config.State{RPS: 201.5, WriteRPS: 202.5, ValueKB: 203.5, TxnOps: 204},
			Cloud:      config.Cloud{RPS: 301.5, ListLagS: 302.5},
			Limits:     config.Limits{CPU: 401.5, MemoryMB: 402.5, MaxConns: 403},
		},
	})
}

// TestOperatorSettings checks that the operator settings file is parsed as before.
func TestOperatorSettings(t *testing.T) {
	got, err := config.ParseOperator(bytes.NewReader(readGolden(t, "settings/operator.xml")))
	if err != nil {
		t.Fatal(err)
	}
	checkSettings(t, got, config.Operator{
		ReplicationInterval: 1100 * time.Millisecond, CopyWait: 1200 * time.Millisecond, DefaultEstimate: 13 * time.Second,
		NodeLease: 5 * time.Second, IdleTimeout: 2 * time.Minute,
		SingleRecords: true, DisableShards: true, DisableDynamicConfig: true,
		OperatorKeys: "/keys", Machines: map[protocol.MachineType]int{"m8": 50, "m16": 7},
	})
}

// TestOperatorSettingsOppositeValues checks an operator settings file with the opposite value
// of each setting that has two values.
func TestOperatorSettingsOppositeValues(t *testing.T) {
	got, err := config.ParseOperator(bytes.NewReader(readGolden(t, "settings/operator_otherwise.xml")))
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "parsed settings", got, config.DefaultOperator())
}

// TestConfigurationChangesFile checks that a file with configuration changes is parsed as before.
func TestConfigurationChangesFile(t *testing.T) {
	got, err := operatorapi.ParseConfigFile(readGolden(t, "settings/changes.toml"))
	if err != nil {
		t.Fatal(err)
	}
	checkSettings(t, *got, operatorapi.ConfigFile{
		Revision: new(uint64(17)),
		Teams: []operatorapi.ConfigFileTeam{{
			Name: "red", CPUs: new(1.5), MaxCPUs: new(2.5), GPUs: new(3.5), MaxGPUs: new(4.5),
			Closed: new(true), Reset: true, Remove: true,
		}},
		Classes: []operatorapi.ConfigFileClass{{
			Name: "nightly", Reset: true,
			Objectives: []record.ObjectiveEntry{{Kind: "start", WithinS: 5.5, Share: 0.5, Times: 2.5}},
		}},
		Zones:    []operatorapi.ConfigFilePlace{{Name: "x", Closed: new(true), Reset: true}},
		Types:    []operatorapi.ConfigFilePlace{{Name: "m8", Closed: new(true), Reset: true}},
		Settings: map[string]record.SettingText{"idleReturn": "90s"},
	})
}
