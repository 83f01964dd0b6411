package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// routes returns the handler of the engine's HTTP API.
func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, e.handleCompletion)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("GET /state", e.handleState)
	mux.HandleFunc("POST /orders", e.handleOrder)
	return mux
}

// handleCompletion runs a completion request and responds with a stream or a
// single body.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := ParseCompletionRequest(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	marker := e.options.CrashMarker
	crashesEngine := marker != "" && bytes.Contains(body, []byte(marker))
	result := e.admit(r, request, crashesEngine)
	if result.refusalStatus != 0 {
		e.writeRefusal(w, result.refusalStatus)
		return
	}
	if result.run.fault.fails {
		writeError(w, http.StatusInternalServerError, "the version fails")
		return
	}
	if request.Stream {
		e.streamEvents(w, r, result.run, 0, e.takeAbortThreshold())
		return
	}
	e.writeWholeResponse(w, r, result.run)
}

func (e *Engine) writeRefusal(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("X-Leaving", "true")
	}
	writeError(w, status, "refused")
}

// writeWholeResponse waits for the end of the run and writes the whole response.
func (e *Engine) writeWholeResponse(w http.ResponseWriter, r *http.Request, run *engineRun) {
	_, status, err := run.wait(r.Context())
	if err != nil || status == StatusCrashed || status == StatusNoEnd {
		panic(http.ErrAbortHandler)
	}
	if status == StatusCancelled {
		writeError(w, http.StatusInternalServerError, "cancelled")
		return
	}
	body, err := run.responseJSON()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// takeAbortThreshold returns the number of events after which to abort the
// current stream, or 0 if it is not to be aborted.
func (e *Engine) takeAbortThreshold() int {
	if !decrementIfPositive(&e.abortsLeft) {
		return 0
	}
	return int(e.abortAfterEvents.Load())
}

// streamEvents sends the past and future events with a number above afterEvent.
// If abortAfter is not 0, it closes the connection after that many events.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, run *engineRun, afterEvent, abortAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	lastSent := afterEvent
	for {
		tokens, status, changed := run.snapshot()
		for lastSent < tokens {
			lastSent++
			if !writeChunk(w, run, lastSent) {
				return
			}
			if abortAfter > 0 && lastSent-afterEvent >= abortAfter {
				_ = controller.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		if status == StatusComplete {
			if lastSent == tokens {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", lastSent+1)
			}
			return
		}
		if status == StatusNoEnd {
			return
		}
		if status != StatusRunning {
			panic(http.ErrAbortHandler)
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeChunk writes the event of token n. It returns false on failure, as when
// the client has disconnected.
func writeChunk(w io.Writer, run *engineRun, n int) bool {
	data, err := run.chunkJSON(n)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	return err == nil
}

// runFromPath returns the run whose request ID is in the URL path, or nil.
func (e *Engine) runFromPath(r *http.Request) *engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runsByID[r.PathValue("id")]
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	run := e.runFromPath(r)
	if run == nil {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	afterEvent, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || afterEvent < 0 {
		afterEvent = 0
	}
	e.streamEvents(w, r, run, afterEvent, 0)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	run := e.runFromPath(r)
	if run == nil {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	e.finish(run, StatusCancelled)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.delayedLoadReport())
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	afterSeq, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		afterSeq = 0
	}
	events, nextSeq := e.cache.eventsAfter(afterSeq, e.options.Clock.Now())
	if events == nil {
		events = []CacheEvent{}
	}
	writeJSON(w, http.StatusOK, cacheEventsBody{Next: nextSeq, Events: events})
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.orders.snapshot(e.options.Clock.Now()))
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	now := e.options.Clock.Now()
	outcome := e.orders.execute(order, now)
	if outcome == orderFenced {
		writeJSON(w, http.StatusConflict, fencingConflictBody{Fence: e.orders.snapshot(now).Fence})
		return
	}
	if outcome == orderApplied && order.Kind == "drain" {
		e.SetLeaving(true)
	}
	e.recordLoad()
	writeJSON(w, http.StatusAccepted, e.orders.snapshot(now))
}
