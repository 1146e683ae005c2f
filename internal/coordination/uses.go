package coordination

// ranks is how many ranks of priority there are.
const ranks = 4

// uses is what attempts take of a machine, by the rank of their priority.
type uses [ranks]resources

// firm is what attempts of a rank or above take: no attempt of that rank can
// have them stopped.
func (u *uses) firm(rank int) resources {
	var sum resources
	for _, r := range u[min(max(rank, 0), ranks):] {
		sum = sum.plus(r)
	}
	return sum
}

func (u *uses) add(rank int, n resources) {
	rank = min(max(rank, 0), ranks-1)
	u[rank] = u[rank].plus(n)
}

func (u *uses) addAll(rs []RankUse) {
	for _, r := range rs {
		u.add(r.Rank, resources{r.CPUs, r.GPUs, r.GB})
	}
}

// list is the form in which uses are sent.
func (u *uses) list() []RankUse {
	var rs []RankUse
	for rank, r := range u {
		if r != (resources{}) {
			rs = append(rs, RankUse{rank, r.cpus, r.gpus, r.gb})
		}
	}
	return rs
}
