package replicator_test

import (
	"bytes"
	"fmt"

	"burdocklink/replicator"
)

func (g *group) fail(format string, args ...any) {
	if g.failure == "" {
		g.failure = fmt.Sprintf("at %v: ", g.now) + fmt.Sprintf(format, args...)
	}
}

// checkOutput checks the output of a step of a node.
func (g *group) checkOutput(n *node, out replicator.Output) {
	if out.Fault != nil {
		g.fail("%v reports a fault: %v", n.id, out.Fault)
	}
	n.status = n.core.Status()
	n.lease = n.status.LeaseUntil
	if out.Restore != nil {
		g.checkRestore(n, *out.Restore)
	}
	for _, entry := range out.Apply {
		g.checkApply(n, entry)
	}
	for _, read := range out.Reads {
		g.checkRead(n, read)
	}
	if n.status.Leading {
		if known, ok := g.leaders[n.status.Term]; ok && known != n.id {
			g.fail("two leaders of term %d: %v and %v", n.status.Term, known, n.id)
		}
		g.leaders[n.status.Term] = n.id
	}
	g.checkLeases()
}

func (g *group) checkLeases() {
	var holder *node
	for _, n := range g.nodes {
		if n.down || !g.clock(n).Before(n.lease) {
			continue
		}
		if holder != nil {
			g.fail("two leases: %v and %v", holder.id, n.id)
		}
		holder = n
	}
}

func (g *group) checkApply(n *node, entry replicator.Entry) {
	if entry.Index != n.applied+1 {
		g.fail("%v applies entry %d after entry %d", n.id, entry.Index, n.applied)
		return
	}
	n.applied = entry.Index
	if entry.Index > uint64(len(g.committed)) {
		if k := len(g.committed); k > 0 && entry.Stamp.Before(g.committed[k-1].Stamp) {
			g.fail("stamp of entry %d is earlier than that of the previous one", entry.Index)
		}
		g.committed = append(g.committed, entry)
		return
	}
	if !sameEntry(g.committed[entry.Index-1], entry) {
		g.fail("%v applies an entry %d that differs from the committed one", n.id, entry.Index)
	}
}

func (g *group) checkRestore(n *node, snapshot replicator.Snapshot) {
	if snapshot.Index <= n.applied || snapshot.Index > uint64(len(g.committed)) {
		g.fail("%v restores a snapshot of index %d, has applied %d of %d", n.id, snapshot.Index, n.applied, len(g.committed))
		return
	}
	if !bytes.Equal(snapshot.Data, snapshotData(snapshot.Index)) {
		g.fail("%v restores a snapshot with wrong data", n.id)
	}
	if g.committed[snapshot.Index-1].Term != snapshot.Term {
		g.fail("%v restores a snapshot with a wrong term", n.id)
	}
	n.applied = snapshot.Index
}

// checkRead checks that a read index includes everything that any node had
// applied before the read.
func (g *group) checkRead(n *node, read replicator.ReadResult) {
	pending, known := g.reads[read.ID]
	if !known {
		g.fail("%v answers an unknown read", n.id)
		return
	}
	delete(g.reads, read.ID)
	if read.Refused {
		return
	}
	g.answeredReads++
	if read.Index < pending.min {
		g.fail("%v reads at index %d, %d had been applied", n.id, read.Index, pending.min)
	}
}

func sameEntry(a, b replicator.Entry) bool {
	if a.Term != b.Term || !a.Stamp.Equal(b.Stamp) {
		return false
	}
	left, leftIsOpaque := a.Payload.(replicator.Opaque)
	right, rightIsOpaque := b.Payload.(replicator.Opaque)
	return leftIsOpaque == rightIsOpaque && bytes.Equal(left.Data, right.Data)
}

// checkLogs checks the log matching property across all disks.
func (g *group) checkLogs() {
	type position struct{ index, term uint64 }
	entries := map[position]replicator.Entry{}
	previousTerms := map[position]uint64{}
	for _, n := range g.nodes {
		previous := n.disk.snapshot.Term
		for i, entry := range n.disk.entries {
			if entry.Index != n.disk.snapshot.Index+uint64(i)+1 {
				g.fail("%v has a gap at %d", n.id, entry.Index)
			}
			at := position{entry.Index, entry.Term}
			if other, ok := entries[at]; ok && (!sameEntry(other, entry) || previousTerms[at] != previous) {
				g.fail("logs differ at %d of term %d", entry.Index, entry.Term)
			}
			entries[at], previousTerms[at] = entry, previous
			previous = entry.Term
		}
	}
}

// snapshotData returns the test state after an index. It needs more than one
// chunk.
func snapshotData(index uint64) []byte {
	return bytes.Repeat([]byte{byte(index), byte(index >> 8)}, 70)
}
