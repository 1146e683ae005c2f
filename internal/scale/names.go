package scale

import (
	"fmt"
	"strings"

	"damsonkeel/internal/protocol"
)

// Roles of the processes of a run.
const (
	RoleServices  = "services"
	RoleWorkers   = "workers"
	RoleUsers     = "users"
	RoleForwarder = "forwarder"
	// roleWorker is a process with one worker, and roleController one of the service.
	roleWorker     = "worker"
	roleController = "controller"
)

const (
	sharedPrefix = "workers-"
	singlePrefix = "worker-"
)

// sharedProcess is the process of most of a zone's workers.
func sharedProcess(zone protocol.Zone) string { return sharedPrefix + string(zone) }

// singleProcess is the process of one of a zone's workers.
func singleProcess(zone protocol.Zone) string { return singlePrefix + string(zone) }

func isShared(process string) bool { return strings.HasPrefix(process, sharedPrefix) }

// controllerName is the name of a controller by its number.
func controllerName(i int) protocol.NodeName {
	return protocol.NodeName(fmt.Sprintf("controller-%02d", i))
}
