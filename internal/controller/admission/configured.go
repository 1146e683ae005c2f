package admission

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// configurationChanged takes the configuration in force, and decides anew what one before
// could not settle.
func (in *Admission) configurationChanged(effective *dynamicconfig.Effective) {
	in.configured = effective
	in.configurable = in.configurable || effective.Version > 0 // whatever this controller's own settings say
	for _, r := range ordered.Of(in.requests) {
		if r.configuredAnew && r.configuredBy != effective.Version {
			in.resubmit(r)
		}
	}
}

// onConfiguration has a transaction hold only while the configuration that it was
// decided by is in force: however late it is carried out, it accepts nothing by one
// that was replaced.
func (in *Admission) onConfiguration(r *request, txn protocol.Transaction) protocol.Transaction {
	if !in.configurable {
		return txn
	}
	r.configuredBy, r.configuredAnew = in.configured.Version, false
	txn.Conditions = append(txn.Conditions, protocol.Condition{Key: record.ConfigurationKey, Version: r.configuredBy})
	return txn
}

// refuseByConfiguration refuses a submission, unless its id is one that was accepted,
// or the configuration has changed.
func (in *Admission) refuseByConfiguration(r *request, no Answer) {
	if !in.configurable {
		in.refuse(r, no)
		return
	}
	r.refusal = &no
	unknown := protocol.Transaction{Conditions: []protocol.Condition{{Key: record.JobKey(r.Job)}}, Changes: []protocol.Change{}}
	in.write(r, in.onConfiguration(r, unknown))
}

// resubmit decides a submission by the configuration in force, once that is another
// one than what it was decided by.
func (in *Admission) resubmit(r *request) {
	if r.configuredBy != in.configured.Version {
		in.submit(r)
	}
}
