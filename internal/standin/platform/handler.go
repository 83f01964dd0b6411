package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	core "github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// defaultScanRows is the row limit of a scan without a valid limit parameter.
const defaultScanRows = 1000

// commitRequest is the body of POST /commit.
type commitRequest struct {
	Writes []core.Write `json:"writes"`
}

// scanResponse is the response to a table scan.
type scanResponse struct {
	Rows []core.Row `json:"rows"`
}

// instancesResponse is the response to GET /instances.
type instancesResponse struct {
	Instances []core.ListedInstance `json:"instances"`
}

// commitResponse is the response to a successful commit.
type commitResponse struct{}

// ServeHTTP implements http.Handler. It applies the injected faults before it
// handles a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requestCount.Add(1)
	if !s.waitForDelay(r) {
		return
	}
	if s.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	segments, err := pathSegments(r.URL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.route(w, r, segments)
}

// waitForDelay waits for the injected delay. It returns false if the client
// disconnects first.
func (s *Server) waitForDelay(r *http.Request) bool {
	delay := time.Duration(s.delayNS.Load())
	if delay <= 0 {
		return true
	}
	timer := s.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-r.Context().Done():
		return false
	}
}

// route calls the handler for the method and the unescaped path segments.
func (s *Server) route(w http.ResponseWriter, r *http.Request, segments []string) {
	switch {
	case r.Method == http.MethodGet && len(segments) == 3 && segments[0] == "tables":
		s.handleGet(w, r, core.Key{Table: segments[1], ID: segments[2]})
	case r.Method == http.MethodGet && len(segments) == 2 && segments[0] == "tables":
		s.handleScan(w, r, segments[1])
	case r.Method == http.MethodPost && len(segments) == 1 && segments[0] == "commit":
		s.handleCommit(w, r)
	case len(segments) == 2 && segments[0] == "objects":
		s.handleObject(w, r, segments[1])
	case r.Method == http.MethodGet && len(segments) == 1 && segments[0] == "instances":
		s.handleInstances(w, r)
	default:
		http.Error(w, "no such operation", http.StatusNotFound)
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request, key core.Key) {
	row, err := s.memory.Get(r.Context(), key)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (s *Server) handleScan(w http.ResponseWriter, r *http.Request, table string) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultScanRows
	}
	rows, err := s.memory.Scan(r.Context(), table, query.Get("prefix"), limit)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, scanResponse{Rows: rows})
}

func (s *Server) handleCommit(w http.ResponseWriter, r *http.Request) {
	var body commitRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.memory.Commit(r.Context(), body.Writes)
	s.abortIfResponseDropped()
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, commitResponse{})
}

func (s *Server) handleObject(w http.ResponseWriter, r *http.Request, name string) {
	switch r.Method {
	case http.MethodGet:
		s.handleGetObject(w, r, name)
	case http.MethodPut:
		s.handlePutObject(w, r, name)
	case http.MethodDelete:
		err := s.memory.DeleteObject(r.Context(), name)
		s.writeObjectResult(w, err)
	default:
		http.Error(w, "no such operation", http.StatusMethodNotAllowed)
	}
}

func (s *Server) handleGetObject(w http.ResponseWriter, r *http.Request, name string) {
	value, err := s.memory.GetObject(r.Context(), name)
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (s *Server) handlePutObject(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.memory.PutObject(r.Context(), name, value)
	s.writeObjectResult(w, err)
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := s.memory.Instances(r.Context())
	if err != nil {
		s.writeError(w, err)
		return
	}
	if delayed, set := s.delayedInstances(); set {
		instances = delayed
	}
	writeJSON(w, http.StatusOK, instancesResponse{Instances: instances})
}

// writeObjectResult responds to an object write with status 204 or an error, or
// drops the response.
func (s *Server) writeObjectResult(w http.ResponseWriter, err error) {
	s.abortIfResponseDropped()
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// abortIfResponseDropped closes the connection without a response if responses
// are still to be dropped. The write has already been carried out.
func (s *Server) abortIfResponseDropped() {
	if s.takeDroppedResponse() {
		panic(http.ErrAbortHandler)
	}
}

// writeError maps the errors of package platform to HTTP responses. An unknown
// outcome closes the connection without a response.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	var conflict *core.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, conflict)
	case errors.Is(err, core.ErrNotFound):
		http.Error(w, "not found", http.StatusNotFound)
	case errors.Is(err, core.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// pathSegments splits the path before unescaping it, so that an escaped slash
// stays within its segment.
func pathSegments(u *url.URL) ([]string, error) {
	segments := strings.Split(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	for i, segment := range segments {
		unescaped, err := url.PathUnescape(segment)
		if err != nil {
			return nil, errors.Wrapf(err, "path part %q", segment)
		}
		segments[i] = unescaped
	}
	return segments, nil
}
