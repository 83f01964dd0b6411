package tables

import (
	"fmt"
	"testing"
)

func BenchmarkRoute(b *testing.B) {
	var t Tables
	for i := range 19 {
		t.Routes = append(t.Routes, Route{Name: fmt.Sprint(i), Match: Match{Path: "/v1/chat", Model: fmt.Sprint("model-", i)}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if t.Route("/v1/chat/completions", "model-18", "account") == nil {
			b.Fatal("no route")
		}
	}
}
