package jobs

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestBitmapReadBeforeTakeoverIsIgnored checks that a bitmap that was requested when this
// controller owned the job before does not count as read after another owner had it in between.
// It guards against finished tasks that run a second time: the late answer lacks those that the
// other owner wrote.
func TestBitmapReadBeforeTakeoverIsIgnored(t *testing.T) {
	o := newOwned(t)
	o.AddAccepted(protocol.Job{ID: "job-1", Team: "free", Kind: protocol.KindJobArray, Tasks: 2, CPUs: 1}, 7, true)
	sessions := map[protocol.NodeName]protocol.LeaseID{"node-0": 100, "node-1": 101}
	owner := func(term protocol.Term, members ...protocol.NodeName) {
		old := o.View
		o.View = record.View{Term: term, Members: map[protocol.NodeName]protocol.LeaseID{}}
		for _, name := range members {
			o.View.Members[name] = sessions[name]
		}
		o.AdoptView(old, true)
	}
	owner(2, "node-0")
	owner(3, "node-1") // the other controller owns the job
	owner(4, "node-0")
	loads := 0
	for _, action := range o.Actions {
		if load, ok := action.(message.LoadBitmap); ok {
			if loads++; loads == 1 {
				o.HandleBitmapLoaded(message.BitmapLoaded{Job: "job-1", Term: load.Term, OK: true})
				if o.ByID["job-1"].Loaded {
					t.Fatal("a bitmap that was requested before the takeover was taken for the present one")
				}
				continue
			}
			o.HandleBitmapLoaded(message.BitmapLoaded{Job: "job-1", Term: load.Term, OK: true})
		}
	}
	if loads != 2 || !o.ByID["job-1"].Loaded {
		t.Errorf("%d reads, loaded %v, want 2 and true", loads, o.ByID["job-1"].Loaded)
	}
}
