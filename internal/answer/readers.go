package answer

// Readers returns the number of readers that follow the answer now.
func (a *Answer) Readers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}
