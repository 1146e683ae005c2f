package controller

import (
	"context"
	"time"

	"damsonkeel/internal/controller/message"
)

const (
	// catalogueRetryDelay is the time until the catalogue is read again after a failed read.
	catalogueRetryDelay = time.Second
	// catalogueInterval is the time between two reads of the catalogue.
	catalogueInterval = time.Minute
)

// readCatalogue reads the machine types and their prices from the cloud periodically and passes
// them to the frontend and the core, until the context ends. An empty catalogue counts as a
// failed read, after which the last catalogue stays in use.
func (n *Node) readCatalogue(ctx context.Context) {
	for ctx.Err() == nil {
		delay := catalogueInterval
		catalogue, err := n.cloud.Catalogue(ctx)
		if err != nil || len(catalogue.Types) == 0 {
			n.log.Info("failed to read the catalogue, or it is empty", "err", err)
			delay = catalogueRetryDelay
		} else {
			n.catalogueReceived.Store(true)
			n.frontend.SetMachineTypes(ctx, catalogue.Types)
			n.post(message.CatalogueRead{Types: catalogue.Types})
		}
		sleep(ctx, delay)
	}
}
