// Package cloud is a client of the cloud service that provisions and terminates machines.
//
// The package owns its connections and limits its request rate to this controller's
// fraction of the cloud's rate, in requests per second. Its errors wrap those of package
// serviceclient, which states after which of them the outcome of a request is unknown. The
// autoscaler decides which machines to provision.
package cloud
