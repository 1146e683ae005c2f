// Package ratelimit lets controllers lend one another the rates of the key-value store
// that they do not need. Each has an equal allotment to begin with. A controller that
// needs more asks its peers with each regular state update, and one that needs less
// lends for a few seconds. Whatever is lost or late, the allotments in use never sum to
// more than the limit.
//
// That holds because a grant answers a request and names it by the borrower's own clock.
// The borrower uses the grant only for a while after its request, and the lender does
// without it for a longer while after the grant, which comes later: so a grant is never
// in use by both, however long either message took. A controller that has restarted and
// no longer knows what it lent holds back, for that while, all that may be outstanding.
//
// A Ledger owns one controller's requests, grants and measured need. It reads no clock,
// sends nothing and does not limit requests itself.
package ratelimit
