package process

import (
	"fmt"
	"strings"

	"damsonkeel/internal/protocol"
)

// Roles of the processes of a run. Results contain these names.
const (
	RoleServices  = "services"
	RoleWorkers   = "workers"
	RoleUsers     = "users"
	RoleForwarder = "forwarder"
	// RoleWorker and RoleController only occur in results: a process with a single worker, and
	// a controller.
	RoleWorker     = "worker"
	RoleController = "controller"
)

const (
	sharedPrefix = "workers-"
	singlePrefix = "worker-"
)

// SharedWorkers returns the name of the process that runs all workers of a zone but one.
func SharedWorkers(zone protocol.Zone) string { return sharedPrefix + string(zone) }

// SingleWorker returns the name of the process that runs a single worker of a zone.
func SingleWorker(zone protocol.Zone) string { return singlePrefix + string(zone) }

// IsShared reports whether a process runs all workers of a zone but one, by its name.
func IsShared(name string) bool { return strings.HasPrefix(name, sharedPrefix) }

// IsSingle reports whether a process runs a single worker of a zone, by its name.
func IsSingle(name string) bool { return strings.HasPrefix(name, singlePrefix) }

// ControllerName returns the name of the controller with number i, which has at least two digits.
func ControllerName(i int) protocol.NodeName {
	return protocol.NodeName(fmt.Sprintf("controller-%02d", i))
}
