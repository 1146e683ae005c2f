// Package capacity estimates the processes, memory and open files that a scale run needs, and
// checks that the machine has enough of them before the run starts. It holds no state.
package capacity
