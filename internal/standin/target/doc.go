// Package target implements test doubles of inference engines (Engine) and of
// plain HTTP services (Service) for tests, demonstrations and benchmarks.
//
// An Engine models continuous batching: every admitted request runs
// immediately, and all running requests slow down when there are more of them
// than slots or when they hold more tokens than the KV cache has. It has no
// request priorities. The generated text is a function of the prompt
// (ExpectedText), so a client can verify that a complete response belongs to
// its own request.
//
// Each test double records the requests that it ran (Runs) and refused
// (Refusals). These records are the ground truth for checks. Faults can be
// injected at any time.
package target
