// Package resource calculates with the resources that machines have and tasks use: amounts
// of processors, accelerators and memory, and what is in use on a machine by level.
//
// It owns no state: its types are values of their users. Amounts are sums of decimal
// numbers; comparisons allow for their rounding errors.
package resource
