package frontend

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

// maxHistoryBytes is the maximum size of the changes in one answer, well below the limit
// for the body of an answer.
const maxHistoryBytes = 40 << 10

// configurationHistory answers with the latest changes of the configuration, newest first.
func (f *Frontend) configurationHistory(ctx context.Context) *transport.Message {
	items, _, err := f.store.List(ctx, record.ConfigurationHistoryPrefix)
	if err != nil {
		f.log.Debug("configuration history not read", "err", err)
		return Failure(http.StatusServiceUnavailable, "state service can't be asked")
	}
	history, more := f.latestChanges(items)
	reply := operatorapi.Reply{Code: operatorapi.Done, More: more, Config: &operatorapi.ConfigReply{History: history}}
	if len(history) > 0 {
		reply.Config.Revision = history[0].Revision
	}
	return operatorResponse(reply)
}

// latestChanges decodes changes of the configuration. It returns the latest changes that
// fit into an answer, newest first, and whether there are more.
func (f *Frontend) latestChanges(items []protocol.Item) (history []record.ConfigurationChange, more bool) {
	sizes := map[record.ConfigurationRevision]int{}
	for _, item := range items {
		var change record.ConfigurationChange
		if err := protocol.Decode(item.Value, &change); err != nil {
			f.log.Error("record can't be read", "key", item.Key, "err", err)
			continue
		}
		sizes[change.Revision] = len(item.Value)
		history = append(history, change)
	}
	slices.SortFunc(history, func(a, b record.ConfigurationChange) int { return cmp.Compare(b.Revision, a.Revision) })
	size := 0
	for i, change := range history {
		if size += sizes[change.Revision]; size > maxHistoryBytes {
			return history[:i], true
		}
	}
	return history, false
}
