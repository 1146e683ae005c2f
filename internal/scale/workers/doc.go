// Package workers runs fake workers of a scale run in one process, as the monitor directs:
// it starts, kills and restarts them and passes on what becomes of gangs.
//
// Workers owns the events that workers produce until they are sent to the monitor. The
// fake workers themselves, and their connections to the controllers, belong to the host of
// package fake/server.
package workers
