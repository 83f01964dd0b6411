//go:build !linux

package process

func readUsage() Usage { return Usage{} }

func readLimits() Limits { return Limits{} }
