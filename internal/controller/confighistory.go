package controller

import (
	"context"
	"slices"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

// historyBytes bounds the history in one answer: well below what answers may hold.
const historyBytes = 40 << 10

// configurationHistory reads the latest changes of the configuration, the last first.
func (f *frontend) configurationHistory(ctx context.Context) *transport.Message {
	items, _, err := f.n.state.List(ctx, record.ConfigurationHistoryPrefix)
	if err != nil {
		f.n.log.Debug("configuration history", "err", err)
		return failure(503, "state service can't be asked")
	}
	reply := operatorapi.Reply{Code: operatorapi.Done, Config: &operatorapi.ConfigReply{}}
	sizes := map[record.ConfigurationRevision]int{}
	for _, it := range items {
		var change record.ConfigurationChange
		if err := protocol.Decode(it.Value, &change); err != nil {
			f.n.log.Error("record can't be read", "key", it.Key, "err", err)
			continue
		}
		sizes[change.Revision] = len(it.Value)
		reply.Config.History = append(reply.Config.History, change)
	}
	slices.SortFunc(reply.Config.History, func(a, b record.ConfigurationChange) int { return int(b.Revision) - int(a.Revision) })
	size := 0
	for i, change := range reply.Config.History {
		if size += sizes[change.Revision]; size > historyBytes {
			reply.Config.History, reply.More = reply.Config.History[:i], true
			break
		}
	}
	if len(reply.Config.History) > 0 {
		reply.Config.Revision = reply.Config.History[0].Revision
	}
	return operatorAnswer(reply)
}
