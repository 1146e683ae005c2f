package coordination

import "damsonkeel/internal/protocol"

// resources is what a task takes or a machine has.
type resources struct{ cpus, gpus, gb float64 }

const slack = 1e-6 // amounts are decimal numbers: sums of them are not exact

func (r resources) covers(n resources) bool {
	return n.cpus <= r.cpus+slack && n.gpus <= r.gpus+slack && n.gb <= r.gb+slack
}

func (r resources) minus(n resources) resources {
	return resources{r.cpus - n.cpus, r.gpus - n.gpus, r.gb - n.gb}
}

func (r resources) plus(n resources) resources {
	return resources{r.cpus + n.cpus, r.gpus + n.gpus, r.gb + n.gb}
}

func need(j *protocol.Job) resources { return resources{j.CPUs, j.GPUs, j.MemoryGB} }

func capacity(t protocol.TypeInfo) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }
