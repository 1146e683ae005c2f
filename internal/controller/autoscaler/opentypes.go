package autoscaler

import "damsonkeel/internal/protocol"

// openTypes are the machine types, with the zones, in which the configuration lets
// machines be rented.
func (as *Autoscaler) openTypes() map[protocol.MachineType]protocol.TypeInfo {
	if !as.Configuration.Effective().AnyPlaceClosed() {
		return as.Types
	}
	open := map[protocol.MachineType]protocol.TypeInfo{}
	for name, info := range as.Types {
		zones := info.AllowZones
		info.AllowZones = nil
		for _, zone := range zones {
			if !as.PlaceClosed(name, zone) {
				info.AllowZones = append(info.AllowZones, zone)
			}
		}
		open[name] = info
	}
	return open
}
