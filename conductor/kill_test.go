package conductor

// Kill stops a member without handing over, as a crash does.
func (c *Conductor) Kill() {
	c.stopOnce.Do(func() { close(c.stop) })
	<-c.stopped
}

// Disk is the identity of the member's data folder.
func (c *Conductor) Disk() string { return c.self.Disk }
