package scale

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/siteconfig"
)

// injectFault injects a fault into controllers, zones or regions and sends it to the monitor, which
// measures the effect of every fault and injects those that concern machines.
func (r *run) injectFault(ctx context.Context, fault siteconfig.Fault) error {
	r.printProgress("%s: %.0f s: %s", r.site.Name, fault.AtS, fault.Kind)
	switch fault.Kind {
	case siteconfig.FaultKillController, siteconfig.FaultPauseController:
		for _, i := range r.rng.Perm(len(r.controllers.all))[:fault.Count] {
			if c := r.controllers.all[i]; fault.Kind == siteconfig.FaultKillController {
				r.controllers.kill(c)
			} else {
				r.controllers.pause(c, clock.Seconds(fault.ForS))
			}
		}
	case siteconfig.FaultKillAllControllers:
		go r.controllers.killAll(ctx, clock.Seconds(fault.EveryS))
		fault.ForS = fault.EveryS * float64(len(r.controllers.all))
	case siteconfig.FaultPauseZone:
		r.pauseZone(fault)
	case siteconfig.FaultPartitionRegion:
		r.setPartitioned(fault.Region, true)
		time.AfterFunc(clock.Seconds(fault.ForS), func() { r.setPartitioned(fault.Region, false) })
	}
	if err := r.services.Send(process.Command{Fault: &fault}); err != nil {
		return fmt.Errorf("inject %s: %w", fault.Kind, err)
	}
	return nil
}

// pauseZone pauses the process that the workers of a zone share for the duration of the fault.
func (r *run) pauseZone(fault siteconfig.Fault) {
	name := process.SharedWorkers(r.site.ZoneName(fault.Zone))
	for _, c := range r.workers {
		if c.Name != name {
			continue
		}
		c.Paused = true
		c.Signal(syscall.SIGSTOP)
		time.AfterFunc(clock.Seconds(fault.ForS), func() { c.Signal(syscall.SIGCONT) })
	}
}

// setPartitioned starts or ends the partition of a region from all others, and sends the new list
// of partitioned regions to all forwarders. A failed send is only printed as progress.
func (r *run) setPartitioned(region int, partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = slices.DeleteFunc(r.partitioned, func(other int) bool { return other == region })
	if partitioned {
		r.partitioned = append(r.partitioned, region)
	}
	for _, f := range r.forwarders {
		if err := f.Send(process.Command{Partitioned: r.partitioned}); err != nil {
			r.printProgress("%v", err)
		}
	}
}
