package faker

import (
	"net/http"
	"slices"
	"time"

	"burdocklink/encoder"
)

// exportKV serves GET PathKV/ID: the KV cache of a request.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	found := e.find(r.PathValue("id"))
	if found == nil {
		refuse(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	answer(w, http.StatusOK, found.export())
}

// export returns the state from which another engine continues the stream.
func (s *stream) export() encoder.KVCache {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encoder.KVCache{
		RequestID: s.id,
		Path:      s.path,
		Model:     s.model,
		State:     s.source.state,
		Tokens:    slices.Clone(s.tokens),
		Limit:     s.limit,
	}
}

// importKV serves POST PathKV/ID: it continues a request exported by another
// engine. The stream is then read through PathStreams.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var exported encoder.KVCache
	if !read(w, r, &exported) {
		return
	}
	if !e.ledger.acquire(exported.Model) {
		refuse(w, http.StatusNotFound, "model_not_found", "the model "+exported.Model+" is not loaded")
		return
	}
	added := &stream{
		id:        r.PathValue("id"),
		path:      exported.Path,
		model:     exported.Model,
		limit:     exported.Limit,
		started:   time.Now(),
		imported:  true,
		source:    generator{state: exported.State},
		tokens:    exported.Tokens,
		changed:   make(chan struct{}),
		release:   func() { e.ledger.release(exported.Model) },
		keepUntil: time.Now().Add(e.settings.ResumeTime),
	}
	e.add(added)
	e.batch.submit(added)
	w.WriteHeader(http.StatusNoContent)
}
