package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// routes is the engine's protocol.
func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelRun)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveEvents)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("POST /orders", e.serveOrder)
	return mux
}

// complete runs a model request and answers it as a stream or whole.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
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
	crashes := marker != "" && bytes.Contains(body, []byte(marker))
	admitted := e.admit(r, request, crashes)
	if admitted.refusal != 0 {
		e.writeRefusal(w, admitted.refusal)
		return
	}
	if admitted.run.bad.fails {
		writeError(w, http.StatusInternalServerError, "the version fails")
		return
	}
	if request.Stream {
		e.stream(w, r, admitted.run, 0, e.takeCut())
		return
	}
	e.answerWhole(w, r, admitted.run)
}

func (e *Engine) writeRefusal(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("X-Leaving", "true")
	}
	writeError(w, status, "refused")
}

// answerWhole waits for the run's end and sends one body.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, p *progress) {
	_, end, err := p.wait(r.Context())
	if err != nil || end == StatusCrashed || end == StatusNoEnd {
		panic(http.ErrAbortHandler)
	}
	if end == StatusCancelled {
		writeError(w, http.StatusInternalServerError, "cancelled")
		return
	}
	body, err := p.whole()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// takeCut returns the number of events after which this stream is cut, or 0.
func (e *Engine) takeCut() int {
	if !take(&e.cutsLeft) {
		return 0
	}
	return int(e.cutAfter.Load())
}

// stream sends the events after a number, past and coming. The connection
// breaks after cut events when cut is not 0.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, p *progress, after, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	sent := after
	for {
		tokens, end, changed := p.snapshot()
		for sent < tokens {
			sent++
			if !writeChunk(w, p, sent) {
				return
			}
			if cut > 0 && sent-after >= cut {
				_ = control.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		if end == StatusComplete {
			if sent == tokens {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", sent+1)
			}
			return
		}
		if end == StatusNoEnd {
			return
		}
		if end != StatusRunning {
			panic(http.ErrAbortHandler)
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeChunk sends token n; it reports false when the caller is gone.
func writeChunk(w io.Writer, p *progress, n int) bool {
	data, err := p.chunk(n)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	return err == nil
}

// find returns a run by the id in the path, or nil.
func (e *Engine) find(r *http.Request) *progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[r.PathValue("id")]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	p := e.find(r)
	if p == nil {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		after = 0
	}
	e.stream(w, r, p, after, 0)
}

func (e *Engine) cancelRun(w http.ResponseWriter, r *http.Request) {
	p := e.find(r)
	if p == nil {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	e.finish(p, StatusCancelled)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.report())
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	events, next := e.cache.since(since, e.options.Clock.Now())
	if events == nil {
		events = []CacheEvent{}
	}
	writeJSON(w, http.StatusOK, eventsBody{Next: next, Events: events})
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.orders.read(e.options.Clock.Now()))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	now := e.options.Clock.Now()
	result := e.orders.take(order, now)
	if result == orderFenced {
		writeJSON(w, http.StatusConflict, fenceBody{Fence: e.orders.read(now).Fence})
		return
	}
	if result == orderTaken && order.Kind == "drain" {
		e.SetLeaving(true)
	}
	e.noteLoad()
	writeJSON(w, http.StatusAccepted, e.orders.read(now))
}
