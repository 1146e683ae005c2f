package admission

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// configurationChanged takes over the configuration in force, and decides anew the
// submissions whose transaction may have failed because of the one before.
func (a *Admission) configurationChanged(effective *dynamicconfig.Effective) {
	a.configuration = effective
	// A stored version says that it may change, whatever this controller's own settings
	// say.
	a.configurable = a.configurable || effective.Version > 0
	for _, r := range ordered.ByKey(a.requests) {
		if r.conditionFailed && r.configurationVersion != effective.Version {
			a.resubmit(r)
		}
	}
}

// conditionOnConfiguration has a transaction hold only while the configuration that it
// was decided by is in force: however late it is carried out, it accepts nothing by one
// that was replaced.
func (a *Admission) conditionOnConfiguration(r *request, txn protocol.Transaction) protocol.Transaction {
	if !a.configurable {
		return txn
	}
	r.configurationVersion, r.conditionFailed = a.configuration.Version, false
	condition := protocol.Condition{Key: record.ConfigurationKey, Version: r.configurationVersion}
	txn.Conditions = append(txn.Conditions, condition)
	return txn
}

// refuseByConfiguration refuses a submission, unless its id is one that was accepted,
// or the configuration has changed.
func (a *Admission) refuseByConfiguration(r *request, refusal Answer) {
	if !a.configurable {
		a.refuse(r, refusal)
		return
	}
	r.refusal = &refusal
	unknownJob := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(r.Job)}},
		Changes:    []protocol.Change{},
	}
	a.write(r, a.conditionOnConfiguration(r, unknownJob))
}

// resubmit decides a submission by the configuration in force, once that differs from
// the one it was decided by.
func (a *Admission) resubmit(r *request) {
	if r.configurationVersion != a.configuration.Version {
		a.submit(r)
	}
}
