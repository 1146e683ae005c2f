// Package operator simulates an operator who changes the configuration during a scale run, and
// measures when each change is in force at every controller.
//
// An Operator owns the changes that it has made and the times at which they came into force.
// It only uses the operator API of the controllers.
//
// Terms of the comments:
//   - revision: the number of a version of the configuration, which increases with each change
//   - in force: a controller applies a change, or holds no lease and so cannot act by an earlier
//     revision
//   - limit and guarantee: the processors that a team may use at most, and those that it is
//     guaranteed
//   - bound: the time after a change in which a controller that does not answer may still apply an
//     earlier revision
package operator
