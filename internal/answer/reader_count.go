package answer

// ReaderCount returns the number of readers that follow the answer now.
func (a *Answer) ReaderCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}
