package admission

import (
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// applyConfiguration installs the configuration in force. Each submission whose transaction
// has failed, possibly because the configuration had changed, is checked again if the
// configuration differs from the one that it was decided by.
func (a *Admission) applyConfiguration(effective *dynamicconfig.Effective) {
	a.configuration = effective
	// A stored version means that the configuration may change, even if this controller's
	// own settings don't allow changes.
	a.configurable = a.configurable || effective.Version > 0
	for _, r := range ordered.ByKey(a.requests) {
		if r.conditionFailed && r.configurationVersion != effective.Version {
			a.resubmit(r)
		}
	}
}

// conditionOnConfiguration returns a submission's transaction with the condition that the
// configuration is still the one that the submission was decided by; unchanged if the
// configuration can't change. However late the store executes the transaction, it can't
// accept a job by a configuration that has been replaced.
func (a *Admission) conditionOnConfiguration(r *request, txn protocol.Transaction) protocol.Transaction {
	if !a.configurable {
		return txn
	}
	r.configurationVersion, r.conditionFailed = a.configuration.Version, false
	condition := protocol.Condition{Key: record.ConfigurationKey, Version: r.configurationVersion}
	txn.Conditions = append(txn.Conditions, condition)
	return txn
}

// refuseByConfiguration answers a submission with the given refusal, unless a job with its
// ID has been accepted or the configuration has changed. A transaction that changes nothing
// checks both.
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

// resubmit checks a submission again and accepts or refuses it, if the configuration in
// force differs from the one that it was decided by. Otherwise the submission stays pending
// until applyConfiguration installs another one or its deadline passes.
func (a *Admission) resubmit(r *request) {
	if r.configurationVersion != a.configuration.Version {
		a.submit(r)
	}
}
