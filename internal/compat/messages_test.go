package compat

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
)

// TestCBORMessages checks the CBOR encodings of the messages of users, workers, the cloud, the
// key-value store and operators.
func TestCBORMessages(t *testing.T) {
	checkMessages(t, cborFormat, []message{
		entry[protocol.JobStatus, cborJobStatus]("job_status"),
		entry[protocol.ErrorBody, cborErrorBody]("error"),

		entry[protocol.Heartbeat, cborReport]("report"),
		entry[protocol.HeartbeatReply, cborReportReply]("report_reply"),
		entry[protocol.Commands, cborCommands]("commands"),
		entry[protocol.Redirect, cborRedirect]("redirect"),

		entry[protocol.Catalogue, cborCatalogue]("catalogue"),
		entry[protocol.ProvisionRequest, cborRentRequest]("rent_request"),
		entry[protocol.MachineNames, cborMachineNames]("machine_names"),
		entry[protocol.MachineList, cborMachineList]("machine_list"),

		entry[protocol.Item, cborItem]("state_item"),
		entry[protocol.Page, cborPage]("state_page"),
		entry[protocol.Transaction, cborTxn]("state_txn"),
		entry[protocol.TransactionReply, cborTxnReply]("state_txn_reply"),
		entry[protocol.LeaseRequest, cborLeaseRequest]("state_lease_request"),
		entry[protocol.LeaseReply, cborLeaseReply]("state_lease_reply"),
		entry[protocol.Events, cborEvents]("state_events"),

		entry[operatorapi.Request, cborRequest]("operator_request"),
		entry[operatorapi.Reply, cborReply]("operator_reply"),
		entry[operatorapi.Sealed, cborSealed]("operator_sealed"),
	})
}

// TestSubmissionEncoding checks the encoding of a submitted job. It is separate because a
// submission is decoded into another type than the encoded job.
func TestSubmissionEncoding(t *testing.T) {
	job := protocol.Job{
		ID: "job-000017", Class: "nightly", Team: "red", Kind: "gang", Priority: "high", Tasks: 12,
		CPUs: 1.5, GPUs: 2.5, MemoryGB: 3.5, Image: "image", ImageGB: 4.5, Types: []protocol.MachineType{"m8", "m16"},
		Zone: "x", OneZone: true, Spread: true, Spot: true,
		EstimateS: 5.5, CheckpointS: 6.5, CheckpointDurationS: 7.5, DeadlineS: 8.5,
	}
	want := cborJob{
		ID: "job-000017", Class: "nightly", Team: "red", Kind: "gang", Priority: "high", Tasks: 12,
		CPUs: 1.5, GPUs: 2.5, MemoryGB: 3.5, Image: "image", ImageGB: 4.5, Types: []string{"m8", "m16"},
		Zone: "x", OneZone: true, Spread: true, Spot: true,
		EstimateS: 5.5, CheckpointS: 6.5, SaveS: 7.5, DeadlineS: 8.5,
	}
	encoded, err := protocol.EncodeSubmission(job)
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenFile(t, "cbor/submission.cbor", encoded)
	checkBytes(t, "encoded submission", encoded, golden)
	checkDecoded(t, "submission decoded into the frozen copy", cborFormat.decodeFrozen, golden, want)
	got, err := protocol.ParseSubmission(golden)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "submission decoded by the present code", got, job)
	if id, ok := protocol.SubmittedID(golden); !ok || id != job.ID {
		t.Errorf("id of the submission decoded as %q (%v)", id, ok)
	}
}

// TestSealedRequest checks the encoding of an operator's request with its seal.
func TestSealedRequest(t *testing.T) {
	key := operatorapi.Key{Name: "alice", Secret: bytes.Repeat([]byte{0x5a}, 32)}
	at := time.UnixMilli(1_790_000_000_123)
	request := sample(reflect.TypeFor[operatorapi.Request](), cborNaming).(operatorapi.Request)
	sealed, err := operatorapi.Seal(key, at, request)
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenFile(t, "cbor/operator_sealed_request.cbor", sealed)
	checkBytes(t, "sealed request", sealed, golden)
	got, name, err := operatorapi.Open(golden, []operatorapi.Key{key}, at, 0)
	if err != nil || name != key.Name {
		t.Fatalf("sealed request opened with key name %q, error %v", name, err)
	}
	checkEqual(t, "opened request", got, request)
}

// TestOperatorReplyJSON checks the JSON encoding in which operators' commands print replies,
// because scripts parse it. The order of the fields does not matter.
func TestOperatorReplyJSON(t *testing.T) {
	reply := sample(reflect.TypeFor[operatorapi.Reply](), cborNaming)
	encoded, err := json.MarshalIndent(reply, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var got, want any
	if err := json.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(goldenFile(t, "json/operator_reply.json", encoded), &want); err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "reply in JSON", got, want)
}
