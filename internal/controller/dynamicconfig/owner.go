package dynamicconfig

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// OneOwner reports whether all jobs of a team have the same owner, which checks the
// team's limit. It rests on the platform's file alone, which is the same everywhere:
// did it change with a revision, a job would have two owners while some controllers
// act by the one before. Teams that the file doesn't name have one owner, from the
// first view on whose members all know that.
func OneOwner(site *config.Site, layout record.Layout, name protocol.Team) bool {
	for _, t := range site.Teams {
		if t.Name == name {
			return t.Limited()
		}
	}
	return layout >= record.LayoutConfiguration
}
