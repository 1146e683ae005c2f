// Package clusterstate holds the state that all modules of a controller's core read: the
// watched records of the key-value store, the view, the shard table, the time, the
// settings and the configuration in force. It also derives values from this state alone,
// such as the dispatcher of a machine and the owner of a job.
//
// Each part of a State is written by the one module that watches it; the others read it.
// The package makes no scheduling decisions. It must not import any module of the core,
// send messages or read a clock.
package clusterstate
