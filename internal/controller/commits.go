package controller

import (
	"damsonkeel/internal/controller/autoscaler"
	"damsonkeel/internal/controller/dispatcher"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/membership"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/workerregistry"
)

// handleCommitDone passes the outcome of a transaction to the module that requested it. The
// type of the tag identifies the module.
func (c *Core) handleCommitDone(m message.CommitDone) {
	switch tag := m.Tag.(type) {
	case membership.ShardTableTag:
		c.members.ShardsWritten(m.Outcome)
	case membership.ViewTag:
		c.members.ViewWritten(m.Outcome)
	case autoscaler.ReservationTag:
		c.planner.WriteCompleted(tag)
	case dispatcher.RegisterTag:
		c.dispatcher.RegistrationDone(tag, m.Outcome)
	case jobs.FinishTag:
		c.jobs.HandleFinishWritten(tag, m.Outcome)
	case jobs.BitmapTag:
		c.jobs.HandleBitmapWritten(tag, m.Outcome, m.Revision)
	case holds.Tag:
		c.reservations.HandleRecordWritten(m.Outcome)
	case workerregistry.Tag:
		c.registrar.WriteCompleted(tag, m.Outcome)
	case dispatcher.RemoveTag:
		c.dispatcher.RemovalDone(tag.Machine)
	}
}
