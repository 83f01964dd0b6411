package answer

// ReaderCount returns the number of open readers.
func (a *Answer) ReaderCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}
