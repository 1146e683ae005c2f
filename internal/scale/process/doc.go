// Package process starts the processes that play the roles of a scale run and exchanges
// lines of JSON with them over their standard input and output: a Config, a Ready, any
// number of Commands and a Report. It also names the roles and processes.
//
// A Child belongs to the process that started it and ends with it. The package does not
// know what a role does.
package process
