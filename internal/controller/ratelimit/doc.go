// Package ratelimit lets controllers lend each other the parts of the key-value store's
// rate limits that they do not need. Every controller starts with an equal allotment. A
// controller that needs more requests it from its peers with each regular state update,
// and a controller that needs less lends a part of its allotment for a few seconds. Even
// if messages are lost or late, the allotments in use never sum to more than the limit.
//
// This holds because a grant answers a request and identifies it by the time of the
// request on the borrower's own clock. The borrower uses the grant only for a fixed
// duration after its request. The lender does not use the granted amount for a longer
// duration after the grant, which is later than the request. So the two never use the same
// amount at once, however long either message took. A controller that has restarted no
// longer has a record of its grants: for that longer duration it holds back all that an
// earlier process may have granted.
//
// The comments of this package use these terms:
//   - allotment: the requests and writes a second that one controller may send to the store;
//   - base allotment: the equal part of the limits that each controller has without borrowing
//     and lending;
//   - need: an estimate of the requests and writes a second that a controller makes;
//   - request: the rates beyond its base allotment that a controller could use;
//   - grant: rates that a lender allows a borrower to use for a few seconds;
//   - outstanding: a grant is outstanding until its lender uses the granted rates again.
//
// A Ledger owns one controller's requests, grants and measured need. It reads no clock,
// sends nothing and does not limit requests itself.
package ratelimit
