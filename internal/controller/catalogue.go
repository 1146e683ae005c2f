package controller

import (
	"context"
	"time"

	"damsonkeel/internal/controller/message"
)

const (
	catalogueRetryDelay = time.Second
	catalogueInterval   = time.Minute
)

// readCatalogue reads the machine types, and their prices, from the cloud at intervals.
func (n *Node) readCatalogue(ctx context.Context) {
	for ctx.Err() == nil {
		delay := catalogueInterval
		catalogue, err := n.cloud.Catalogue(ctx)
		if err != nil || len(catalogue.Types) == 0 {
			n.log.Info("catalogue not read", "err", err)
			delay = catalogueRetryDelay
		} else {
			n.typesKnown.Store(true)
			n.frontend.SetMachineTypes(ctx, catalogue.Types)
			n.post(message.CatalogueRead{Types: catalogue.Types})
		}
		sleep(ctx, delay)
	}
}
