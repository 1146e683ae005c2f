package dispatcher

import (
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/protocol"
)

// applyTerminationNotice moves the machine's work when the cloud is about to terminate it.
func (q *queue) applyTerminationNotice(r *protocol.Heartbeat) {
	if r.NoticeS == nil {
		if q.noticeSeconds != nil {
			q.noticeSeconds = nil
			q.touch()
		}
		return
	}
	if q.noticeSeconds == nil {
		q.touch()
		q.Log.Info("received termination notice", "machine", q.id, "notice_s", *r.NoticeS)
		q.releaseWaiting()
	}
	q.noticeSeconds = r.NoticeS
	for _, e := range ordered.Tasks(q.entries) {
		if e.present && !e.ended() && !e.noticed {
			e.noticed = true
			q.notifyOwner(e, message.EventNotice)
		}
	}
}
