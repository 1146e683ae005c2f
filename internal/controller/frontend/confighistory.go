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

// maxHistoryBytes is the maximum size in bytes, as stored, of the changes in one answer, well
// below the limit for the body of an answer.
const maxHistoryBytes = 40 << 10

// configurationHistory answers with the latest changes of the configuration, newest first, and
// the revision of the newest one. The answer is 503 if the key-value store can't be read.
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

// latestChanges decodes changes of the configuration. It returns the latest changes whose size
// does not exceed maxHistoryBytes in total, newest first, and whether there are more. A change
// that can't be decoded is logged and left out.
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
