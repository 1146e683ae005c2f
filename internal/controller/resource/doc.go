// Package resource calculates with the resources that machines have and tasks use: amounts
// of processors, accelerators and memory, and the amounts in use on a machine by level.
//
// It owns no state: its types are values that their users hold. Amounts are sums of decimal
// numbers; comparisons allow for their rounding errors.
package resource
