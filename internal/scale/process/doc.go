// Package process starts the child processes of a scale run, each of which runs one role, and
// exchanges lines of JSON with them over their standard input and output: a Config, a Ready,
// any number of Commands and a Report. It also defines the names of roles and processes.
//
// A Child belongs to the process that started it and ends with it. The package does not
// depend on the implementations of the roles.
package process
