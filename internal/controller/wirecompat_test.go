package controller

import (
	"encoding/hex"
	"reflect"
	"testing"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// The format of sent and stored data must stay compatible (see internal/compat). These tests
// check the parts whose types are not accessible from other packages.

// TestPeerMethodSignaturesAreStable checks the names, arguments and replies of the methods that
// peers call: earlier versions use them in this form.
func TestPeerMethodSignaturesAreStable(t *testing.T) {
	type call struct{ argument, reply reflect.Type }
	want := map[string]call{
		"Deliver": {reflect.TypeFor[message.Batch](), reflect.TypeFor[*message.BatchReply]()},
		"Submit":  {reflect.TypeFor[ForwardedSubmission](), reflect.TypeFor[*admission.Answer]()},
		"Halt":    {reflect.TypeFor[protocol.JobID](), reflect.TypeFor[*bool]()},
	}
	got := map[string]call{}
	service := reflect.TypeFor[*peerService]()
	for i := range service.NumMethod() {
		method := service.Method(i)
		got[method.Name] = call{method.Type.In(1), method.Type.In(2)}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the methods are %v, want %v", got, want)
	}
}

// TestReservationHoldsRecordEncodingIsStable checks the encoding of the record of reservations'
// holds against the encoding of an earlier version.
func TestReservationHoldsRecordEncodingIsStable(t *testing.T) {
	const written = "" +
		"a165686f6c647381a963666f72617264656e6473076466726f6d05646e656564a3624742fb400c00" +
		"00000000006443505573fb3ff80000000000006447505573fb400400000000000065636c65617204" +
		"656c6576656c03657461736b730265756e74696c06676d616368696e65616d"
	record := holds.Record{Holds: []reservation.Hold{{
		For: "r", Machine: "m", Tasks: 2, Need: resource.Amount{CPUs: 1.5, GPUs: 2.5, GB: 3.5},
		Level: 3, Clear: 4, From: 5, Until: 6, Ends: 7,
	}}}
	encoded, err := protocol.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(encoded); got != written {
		t.Errorf("encoded as %s, want %s", got, written)
	}
	data, err := hex.DecodeString(written)
	if err != nil {
		t.Fatal(err)
	}
	var decoded holds.Record
	if err := protocol.Decode(data, &decoded); err != nil || !reflect.DeepEqual(decoded, record) {
		t.Errorf("decoded as %+v (%v), want %+v", decoded, err, record)
	}
}
