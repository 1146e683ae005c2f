package dispatcher

import (
	"slices"

	"damsonkeel/internal/controller/clusterstate"
)

// maxRememberedImages is how many images of a machine are remembered. Which ones its
// cache still holds only the worker knows: the latest are the likeliest.
const maxRememberedImages = 12

// imageCache lists the images that a machine has fetched in this agent epoch, the latest
// last.
type imageCache []string

// add notes that the machine has an image.
func (c *imageCache) add(image string) {
	images := *c
	if i := slices.Index(images, image); i >= 0 {
		images = slices.Delete(images, i, i+1)
	} else if len(images) >= maxRememberedImages {
		images = images[1:]
	}
	*c = append(images, image)
}

// fetchSeconds is how long the machine takes to get a job's image.
func (q *queue) fetchSeconds(job *clusterstate.LiveJob) float64 {
	if slices.Contains(q.images, job.Image) {
		return 0
	}
	return clusterstate.FetchS(q.machineType, &job.Job)
}
