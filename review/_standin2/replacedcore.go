package main

import (
	"syscall"
	"time"
)

const (
	// nextRemoval is the time from the SIGTERM of the first machine that is replaced to that of the
	// second. It is more than catchUp.
	nextRemoval = 4500 * time.Millisecond
	// readTime is how long the operator reads the configuration back, after recovery.
	readTime = 45 * time.Second
)

// replacedCore replaces two of the three machines of the core by plan, one after the other. Their
// successors have been there for longer than catchUp. The configuration that was acknowledged must
// still be read.
func replacedCore(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	op := &operator{rec, core}
	if err := op.publish(newConfig(1), 20*time.Second); err != nil {
		return false, err
	}
	var added []*machine
	for _, m := range core[1:] {
		successor := d.addEdge(m.zone, true, false)
		if err := successor.start(); err != nil {
			return false, err
		}
		added = append(added, successor)
	}
	addedAt := time.Now()
	op.nodes = append([]*machine{core[0]}, added...)
	time.Sleep(catchUp + 2*time.Second)
	stoppedAt := time.Now()
	remove(core[2])
	rec.log("%s is removed for good; its successor %s was started %.1f s ago", core[2].name, added[1].name, time.Since(addedAt).Seconds())
	if err := op.publish(newConfig(2), 10*time.Second); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(time.Until(stoppedAt.Add(nextRemoval)))
		remove(core[1])
		rec.log("%s is removed for good; its successor %s was started %.1f s ago", core[1].name, added[0].name, time.Since(addedAt).Seconds())
	}
	time.Sleep(catchUp + recovery)
	rec.log("the operator reads the configuration at %s, which have been up for %.1f s and more", names(op.nodes), time.Since(addedAt).Seconds())
	newest := 0
	for end := time.Now().Add(readTime); time.Now().Before(end) && newest < 2; {
		for _, node := range op.nodes {
			version := op.read(node)
			rec.log("operator: %s returns version %d (0: none)", node.name, version)
			newest = max(newest, version)
		}
		time.Sleep(time.Second)
	}
	if newest >= 2 {
		return false, nil
	}
	// Only for the record.
	_ = op.publish(newConfig(3), 5*time.Second)
	rec.log("CONFIG: version 2 was acknowledged and does not come, %s after the last change", catchUp+recovery+readTime)
	return true, nil
}

// remove removes a machine for good, by plan.
func remove(m *machine) {
	m.signal(syscall.SIGTERM, "control_plane", "edge")
	m.waitExit(grace, "control_plane", "edge")
}
