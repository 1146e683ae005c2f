// Package workers runs fake workers of a scale run in one process. It executes the directives of
// the monitor: it starts, kills and restarts workers, and completes or ends the gangs of their
// tasks.
//
// Workers owns the events that workers produce until they are sent to the monitor. The host of
// package fake/server owns the fake workers themselves and their connections to the
// controllers.
package workers
