// Package capacity estimates the processes, memory and open files that a scale run needs,
// and checks that the machine it is to run on has enough of them. It holds no state.
package capacity
