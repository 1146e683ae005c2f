package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/scale/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// changeWait is how long a change is tried, and statusWait how long a controller
	// has to say by which revision it acts.
	changeWait  = 40 * time.Second
	statusWait  = time.Second
	statusEvery = 300 * time.Millisecond
	// limitSpread is by what part of itself a changed limit is above the file's.
	limitSpread = 0.5
	// stillAfter is how long after the last change controllers are asked on.
	stillAfter = 30 * time.Second
)

// ConfigFigures tell how changes of the configuration came into force.
type ConfigFigures struct {
	Changes int `json:"changes"` // carried out
	Failed  int `json:"failed"`  // refused, or not settled in time
	// AnsweredP99S is how long operators waited until a change was durable.
	AnsweredP99S float64 `json:"answered_p99_s"`
	// In force is a change once each controller has said that it acts by it, or that it
	// does not act; one that says nothing can't act by an earlier one any more after the
	// time that the service states. ByBound counts changes that one of them was counted
	// so for.
	InForceP99S   float64 `json:"in_force_p99_s"`
	InForceWorstS float64 `json:"in_force_worst_s"`
	ByBound       int     `json:"by_bound"`
	// Heard is the same over the controllers that could be asked in time.
	HeardP99S   float64 `json:"heard_p99_s"`
	HeardWorstS float64 `json:"heard_worst_s"`
	// OldestS is the longest after a change that a controller was seen acting by an
	// earlier one.
	OldestS float64 `json:"oldest_s"`
}

// madeChange is a change that was carried out.
type madeChange struct {
	revision        record.ConfigurationRevision
	asked, answered time.Duration
	settled         map[protocol.NodeName]time.Duration
	limit           *rules.LimitChange
}

// operator changes the configuration, and asks each controller by what it acts.
type operator struct {
	site      *Site
	settings  *config.Settings // of the site, as controllers have them
	key       operatorapi.Key
	addresses map[protocol.NodeName]string
	rng       *rand.Rand

	mu       sync.Mutex
	made     []*madeChange
	failed   int
	answered *hdrhistogram.Histogram
	oldest   time.Duration
	broken   []rules.Violation
	wait     sync.WaitGroup
}

// newOperator makes an operator's key, in a file that controllers are given.
func newOperator(site *Site, dir string, seed uint64) (*operator, string, error) {
	key, err := operatorapi.NewKey("scale")
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(dir, "operators.keys")
	if err := os.WriteFile(path, []byte(key.String()+"\n"), 0o600); err != nil {
		return nil, "", err
	}
	return &operator{site: site, settings: &config.Settings{Site: siteSettings(site)}, key: key, rng: rand.New(rand.NewPCG(seed, operatorStream)), answered: newHistogram()}, path, nil
}

// run makes the changes of the site, and asks who acts by what.
func (o *operator) run(ctx context.Context, begin time.Duration) {
	c := o.site.Configuration
	sleep(ctx, begin+seconds(c.FromS)-Now())
	ctx, cancel := context.WithTimeout(ctx, seconds(c.ForS)+stillAfter)
	defer cancel()
	for name, addr := range o.addresses {
		o.wait.Go(func() { o.watch(ctx, name, addr) })
	}
	pause := seconds(c.ForS / float64(max(1, c.Changes)))
	for i := range c.Changes {
		sleep(ctx, begin+seconds(c.FromS)+time.Duration(i)*pause-Now())
		change, limit := o.draw(i)
		o.wait.Go(func() { o.change(ctx, fmt.Sprintf("change-%d", i), change, limit) })
	}
	o.wait.Wait()
}

// draw makes up a change: of a limit, a guarantee, a class or a setting, in turn.
func (o *operator) draw(i int) (operatorapi.ConfigChange, *rules.LimitChange) {
	names := o.site.TeamNames()
	team := names[o.rng.IntN(len(names))]
	file, _ := o.settings.Team(team)
	switch i % 4 {
	case 0, 1:
		if file.MaxCPUs > 0 {
			limit := math.Round(file.MaxCPUs * (1 + limitSpread*o.rng.Float64()))
			return operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntryTeam, string(team)), MaxCPUs: &limit}, &rules.LimitChange{Team: team, MaxCPUs: limit}
		}
	case 2:
		guarantee := math.Round(file.CPUs * (0.5 + 0.5*o.rng.Float64()))
		return operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntryTeam, string(team)), CPUs: &guarantee}, nil
	}
	value := record.SettingText(fmt.Sprintf("%ds", 3000+o.rng.IntN(600)))
	return operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntrySetting, "idleReturn"), Value: &value}, nil
}

// change puts a change to the controllers until it is settled.
func (o *operator) change(ctx context.Context, id string, change operatorapi.ConfigChange, limit *rules.LimitChange) {
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	var addresses []string
	for _, addr := range o.addresses {
		addresses = append(addresses, addr)
	}
	made := &madeChange{asked: Now(), settled: map[protocol.NodeName]time.Duration{}, limit: limit}
	reply, err := operatorapi.NewClient(o.key, addresses).Do(ctx, operatorapi.Request{
		Op: operatorapi.OpConfigure, ID: id, Config: &operatorapi.ConfigRequest{Changes: []operatorapi.ConfigChange{change}},
	})
	made.answered = Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || reply.Code != operatorapi.Done || reply.Config == nil {
		o.failed++
		return
	}
	made.revision = reply.Config.Revision
	o.made = append(o.made, made)
	observe(o.answered, made.answered-made.asked)
}

// watch asks a controller again and again by which revision it acts.
func (o *operator) watch(ctx context.Context, name protocol.NodeName, addr string) {
	client := operatorapi.NewClient(o.key, []string{addr})
	for ctx.Err() == nil {
		asked := Now()
		askCtx, cancel := context.WithTimeout(ctx, statusWait)
		reply, err := client.Do(askCtx, operatorapi.Request{Op: operatorapi.OpConfigStatus})
		cancel()
		if err == nil && reply.Config != nil {
			for _, c := range reply.Config.Controllers {
				if c.Name == name {
					o.heard(c, asked, Now())
				}
			}
		}
		sleep(ctx, statusEvery)
	}
}

// heard takes what a controller says that it acts by, asked for and answered at times.
func (o *operator) heard(c operatorapi.ConfigController, asked, answered time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, made := range o.made {
		if c.Revision >= made.revision || !c.Acting {
			if _, known := made.settled[c.Name]; !known {
				made.settled[c.Name] = max(answered, made.answered)
			}
			continue
		}
		late := asked - made.answered
		o.oldest = max(o.oldest, late)
		if late > config.ConfiguredWithin {
			o.broken = append(o.broken, rules.Violation{Rule: "configuration", At: asked, Detail: fmt.Sprintf("%s acts by revision %d, %d was made %v ago", c.Name, c.Revision, made.revision, late)})
		}
	}
}

// errNoChanges says that no change was carried out.
var errNoChanges = errors.New("no change of the configuration was carried out")

// figures reckons how changes came into force.
func (o *operator) figures() (*ConfigFigures, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.made) == 0 {
		return nil, errNoChanges
	}
	f := &ConfigFigures{Changes: len(o.made), Failed: o.failed, AnsweredP99S: quantileS(o.answered, 99), OldestS: max(0, o.oldest.Seconds())}
	inForce, heard := newHistogram(), newHistogram()
	bound := config.FollowedWithin(o.nodeLease())
	for _, made := range o.made {
		longest, longestHeard, byBound := time.Duration(0), time.Duration(0), false
		for name := range o.addresses {
			at, known := made.settled[name]
			took := at - made.answered
			if !known || took > bound {
				took, byBound = bound, true
			} else {
				longestHeard = max(longestHeard, took)
			}
			longest = max(longest, took)
		}
		observe(inForce, longest)
		observe(heard, longestHeard)
		if byBound {
			f.ByBound++
		}
	}
	f.InForceP99S, f.InForceWorstS = quantileS(inForce, 99), quantileS(inForce, 100)
	f.HeardP99S, f.HeardWorstS = quantileS(heard, 99), quantileS(heard, 100)
	return f, nil
}

// nodeLease is how long a controller may act without the state service here.
func (o *operator) nodeLease() time.Duration {
	fitted, err := config.DefaultOperator().Fit(o.settings)
	if err != nil {
		return config.ConfiguredWithin
	}
	return fitted.NodeLease
}

// sortedByRevision are changes in order of their revisions.
func sortedByRevision(made []*madeChange) []*madeChange {
	sorted := slices.Clone(made)
	slices.SortFunc(sorted, func(a, b *madeChange) int { return cmp.Compare(a.revision, b.revision) })
	return sorted
}

// limits are the changes of limits that were made, in order of their revisions.
func (o *operator) limits() []rules.LimitChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	var changes []rules.LimitChange
	for _, made := range sortedByRevision(o.made) {
		if made.limit != nil {
			change := *made.limit
			change.RequestedAt, change.AnsweredAt = made.asked, made.answered
			changes = append(changes, change)
		}
	}
	return changes
}
