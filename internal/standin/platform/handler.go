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

// defaultScanRows bounds a scan that names no limit.
const defaultScanRows = 1000

// commitBody is the body of POST /commit.
type commitBody struct {
	Writes []core.Write `json:"writes"`
}

// rowsBody is the answer to a scan.
type rowsBody struct {
	Rows []core.Row `json:"rows"`
}

// instancesBody is the answer to GET /instances.
type instancesBody struct {
	Instances []core.ListedInstance `json:"instances"`
}

// emptyBody is the answer to a commit that took effect.
type emptyBody struct{}

// ServeHTTP implements the protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if !s.waitSlow(r) {
		return
	}
	if s.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	parts, err := pathParts(r.URL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.route(w, r, parts)
}

// waitSlow delays the request; it reports false when the caller went away.
func (s *Server) waitSlow(r *http.Request) bool {
	delay := time.Duration(s.delay.Load())
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

// route picks the operation by method and the path's unescaped parts.
func (s *Server) route(w http.ResponseWriter, r *http.Request, parts []string) {
	switch {
	case r.Method == http.MethodGet && len(parts) == 3 && parts[0] == "tables":
		s.get(w, r, core.Key{Table: parts[1], ID: parts[2]})
	case r.Method == http.MethodGet && len(parts) == 2 && parts[0] == "tables":
		s.scan(w, r, parts[1])
	case r.Method == http.MethodPost && len(parts) == 1 && parts[0] == "commit":
		s.commit(w, r)
	case len(parts) == 2 && parts[0] == "objects":
		s.object(w, r, parts[1])
	case r.Method == http.MethodGet && len(parts) == 1 && parts[0] == "instances":
		s.instances(w, r)
	default:
		http.Error(w, "no such operation", http.StatusNotFound)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, key core.Key) {
	row, err := s.memory.Get(r.Context(), key)
	if err != nil {
		s.answerError(w, err)
		return
	}
	answer(w, http.StatusOK, row)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request, table string) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultScanRows
	}
	rows, err := s.memory.Scan(r.Context(), table, query.Get("prefix"), limit)
	if err != nil {
		s.answerError(w, err)
		return
	}
	answer(w, http.StatusOK, rowsBody{Rows: rows})
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var body commitBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.memory.Commit(r.Context(), body.Writes)
	s.dropAnswerIfAsked()
	if err != nil {
		s.answerError(w, err)
		return
	}
	answer(w, http.StatusOK, emptyBody{})
}

func (s *Server) object(w http.ResponseWriter, r *http.Request, name string) {
	switch r.Method {
	case http.MethodGet:
		s.getObject(w, r, name)
	case http.MethodPut:
		s.putObject(w, r, name)
	case http.MethodDelete:
		err := s.memory.DeleteObject(r.Context(), name)
		s.answerWrite(w, err)
	default:
		http.Error(w, "no such operation", http.StatusMethodNotAllowed)
	}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, name string) {
	value, err := s.memory.GetObject(r.Context(), name)
	if err != nil {
		s.answerError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.memory.PutObject(r.Context(), name, value)
	s.answerWrite(w, err)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	list, err := s.memory.Instances(r.Context())
	if err != nil {
		s.answerError(w, err)
		return
	}
	if lagged, known := s.laggedList(); known {
		list = lagged
	}
	answer(w, http.StatusOK, instancesBody{Instances: list})
}

// answerWrite ends an object write with 204, an error or a lost answer.
func (s *Server) answerWrite(w http.ResponseWriter, err error) {
	s.dropAnswerIfAsked()
	if err != nil {
		s.answerError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// dropAnswerIfAsked closes the connection without an answer when one is to be
// lost. The caller has carried out the write.
func (s *Server) dropAnswerIfAsked() {
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
}

// answerError maps the errors of package platform to the protocol.
func (s *Server) answerError(w http.ResponseWriter, err error) {
	var conflict *core.ConflictError
	switch {
	case errors.As(err, &conflict):
		answer(w, http.StatusConflict, conflict)
	case errors.Is(err, core.ErrNotFound):
		http.Error(w, "not found", http.StatusNotFound)
	case errors.Is(err, core.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// pathParts splits the path before it unescapes, so that an escaped slash
// stays part of its name.
func pathParts(u *url.URL) ([]string, error) {
	parts := strings.Split(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	for i, part := range parts {
		plain, err := url.PathUnescape(part)
		if err != nil {
			return nil, errors.Wrapf(err, "path part %q", part)
		}
		parts[i] = plain
	}
	return parts, nil
}
