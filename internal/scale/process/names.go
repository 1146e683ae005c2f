package process

import (
	"fmt"
	"strings"

	"damsonkeel/internal/protocol"
)

// Roles of the processes of a run, as results name them.
const (
	RoleServices  = "services"
	RoleWorkers   = "workers"
	RoleUsers     = "users"
	RoleForwarder = "forwarder"
	// RoleWorker is a process with a single worker, and RoleController a controller.
	RoleWorker     = "worker"
	RoleController = "controller"
)

const (
	sharedPrefix = "workers-"
	singlePrefix = "worker-"
)

// SharedWorkers is the name of the process of most of a zone's workers.
func SharedWorkers(zone protocol.Zone) string { return sharedPrefix + string(zone) }

// SingleWorker is the name of the process that runs only one of a zone's workers.
func SingleWorker(zone protocol.Zone) string { return singlePrefix + string(zone) }

// IsShared reports whether a name is that of a process of most of a zone's workers.
func IsShared(name string) bool { return strings.HasPrefix(name, sharedPrefix) }

// IsSingle reports whether a name is that of a process with a single worker.
func IsSingle(name string) bool { return strings.HasPrefix(name, singlePrefix) }

// ControllerName is the name of a controller by its number.
func ControllerName(i int) protocol.NodeName {
	return protocol.NodeName(fmt.Sprintf("controller-%02d", i))
}
