package modelengine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/boragewick/boragewick"
)

// export answers with the KV cache of one block.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	_, ok := e.cache.blocks[boragewick.BlockHash(hash)]
	e.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, "unknown_block", "the block is not cached")
		return
	}
	_, _ = w.Write(e.kv(hash))
}

// load puts an exported block into the cache.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || !bytes.Equal(body, e.kv(hash)) {
		refuse(w, http.StatusBadRequest, "damaged", "the block is damaged")
		return
	}
	e.mu.Lock()
	e.storeBlocks([]boragewick.BlockHash{boragewick.BlockHash(hash)})
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// kv makes the exported form of a block.
func (e *Engine) kv(hash uint64) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], hash)
	b := make([]byte, cmp.Or(e.KVBytes, defaultKVBytes))
	_, _ = rand.NewChaCha8(seed).Read(b) // it never fails
	return b
}
