package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	blockTenants = 4
	// blockRate is the number of streams that each tenant begins per second.
	blockRate = 24
	// blockUsage is the Token-Usage of each stream, and blockCost its cost:
	// each token read counts once and each token generated twice.
	blockUsage = "628,180"
	blockCost  = 628 + 2*180
	// blockFirstCrash and blockSecondCrash are when a third of the engines crash.
	blockFirstCrash  = 8 * time.Second
	blockSecondCrash = 15 * time.Second
	// blockCalmAt is when the crashed engines are long back, and blockEnd the
	// end of the load.
	blockCalmAt = 27 * time.Second
	blockEnd    = 40 * time.Second
	// blockSame of blockOf requests of the first tenant are the same.
	blockSame, blockOf = 14, 25
	// fairWindow is the window of the rule in seconds, and fairSpared the number
	// of the largest requests that it does not count.
	fairWindow = 6
	fairSpared = 3
)

// second is what a tenant asked and got in one second. What it got counts where
// its runs began.
type second struct{ asked, got, refused int }

// tally is what a tenant asked and got, by seconds since the start of the load.
type tally struct {
	mu      sync.Mutex
	seconds [60]second
}

func (t *tally) add(at time.Duration, s second) {
	i := int(at / time.Second)
	if i < 0 || i >= len(t.seconds) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seconds[i].asked += s.asked
	t.seconds[i].got += s.got
	t.seconds[i].refused += s.refused
}

// playBlock plays two crashes of a third of the engines. More than half of the
// first tenant's requests are about the same thing and equal, all others differ.
func playBlock(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, []string{"sala-laredo", "sala-castro", "sala-santona", "sala-ramales"}, 2, 0.4)
	if err != nil {
		return 0, err
	}
	defer f.clean()
	var tenants []any
	for i := range blockTenants {
		tenants = append(tenants, map[string]any{"Name": tenantName(i), "ApiKeys": []string{tenantKey(i)}, "Priority": 1})
	}
	config := hangConfig(1, "/old/")
	config["Tenants"] = tenants
	f.store.put("config", "main", config)
	upstreams := &engines{fleet: f, events: 40, gap: 120 * time.Millisecond}
	for range engineCount {
		if err := upstreams.addEngine(); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		f.stopAll(0)
		return 0, err
	}
	rec.say("%d routers are ready", len(f.routers))
	time.Sleep(2 * time.Second)
	c := newCallers(rec)
	var load sync.WaitGroup
	tallies := make([]*tally, blockTenants)
	start := time.Now()
	for i := range tallies {
		tallies[i] = &tally{}
		load.Go(func() {
			for n := 0; time.Since(start) < blockEnd; n++ {
				same := i == 0 && n*blockSame%blockOf < blockSame
				load.Go(func() { sendOne(f, c, tallies[i], i, same, start) })
				time.Sleep(time.Second/(2*blockRate) + rand.N(time.Second/blockRate))
			}
		})
	}
	for _, at := range []time.Duration{blockFirstCrash, blockSecondCrash} {
		time.Sleep(time.Until(start.Add(at)))
		if !trouble {
			continue
		}
		crashed := upstreams.crash(engineCrashes)
		rec.say("%v crash", crashed)
		time.Sleep(3*heartbeat - rand.N(heartbeat))
		f.store.remove("servers", crashed...)
		rec.say("their entries are removed")
	}
	load.Wait()
	upstreams.wait.Wait()
	for _, name := range f.stopAll(2 * time.Second) {
		rec.say("%s was killed", name)
	}
	if judgeFairness(rec, tallies) {
		return exitBroken, nil
	}
	return exitHeld, nil
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i+1) }

func tenantKey(i int) string { return fmt.Sprintf("key-of-%s-8nbk", tenantName(i)) }

// sendOne sends a stream to any router and counts what became of it.
func sendOne(f *fleet, c *callers, t *tally, tenant int, same bool, start time.Time) {
	r := call{method: "POST", path: "/guide/x", deadline: streamDeadline, key: tenantKey(tenant), generation: blockUsage}
	if same {
		r.body, r.prompt = "the question that many kiosks ask", 1
	}
	t.add(time.Since(start), second{asked: blockCost})
	res := c.do(f.routers[rand.IntN(len(f.routers))], r)
	if res.status == 429 || res.status == 503 {
		t.add(res.sentAt.Sub(start), second{refused: 1})
	}
	for _, run := range f.record.runsOf(res.attempt) {
		t.add(run.at.Sub(start), second{got: blockCost})
	}
}

// judgeFairness reports whether the first tenant was refused a request in each
// of six calm seconds and got less than half of what it asked or of what the
// best served tenant got, whichever is less.
func judgeFairness(rec *record, tallies []*tally) bool {
	first, last := int(blockCalmAt/time.Second), int(blockEnd/time.Second)
	for s := range last {
		line := ""
		for i, t := range tallies {
			line += fmt.Sprintf("  %s asked %d got %d refused %d", tenantName(i), t.seconds[s].asked, t.seconds[s].got, t.seconds[s].refused)
		}
		rec.say("second %2d:%s", s, line)
	}
	for from := first; from+fairWindow <= last; from++ {
		owed, got := 0, 0
		refusedAlways := true
		for s := from; s < from+fairWindow; s++ {
			best := 0
			for _, t := range tallies {
				best = max(best, t.seconds[s].got)
			}
			owed += min(tallies[0].seconds[s].asked, best)
			got += tallies[0].seconds[s].got
			refusedAlways = refusedAlways && tallies[0].seconds[s].refused > 0
		}
		if refusedAlways && 2*got < owed-fairSpared*blockCost {
			rec.say("FAIR is broken: from second %d on, %s got %d of %d in six seconds and was refused in each", from, tenantName(0), got, owed)
			return true
		}
	}
	rec.say("FAIR held")
	return false
}
