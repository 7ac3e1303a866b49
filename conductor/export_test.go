package conductor

// Kill stops a member without a leadership transfer, as a crash would.
func (c *Conductor) Kill() {
	c.stopOnce.Do(func() { close(c.stop) })
	<-c.stopped
}

// Disk returns the identity of the member's data folder.
func (c *Conductor) Disk() string { return c.self.Disk }

// GroupName returns the group that the member belongs to, or "".
func (c *Conductor) GroupName() string { return c.groupName() }
