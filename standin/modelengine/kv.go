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

// exportBlock returns the KV cache data of one block.
func (e *Engine) exportBlock(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	_, ok := e.cache.blocks[boragewick.BlockHash(hash)]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_block", "the block is not cached")
		return
	}
	_, _ = w.Write(e.blockData(hash))
}

// importBlock adds an exported block to the cache after comparing its data.
func (e *Engine) importBlock(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || !bytes.Equal(body, e.blockData(hash)) {
		writeError(w, http.StatusBadRequest, "damaged", "the block is damaged")
		return
	}
	e.mu.Lock()
	e.storeBlocks([]boragewick.BlockHash{boragewick.BlockHash(hash)})
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// blockData returns the exported form of a block: bytes generated from its
// hash.
func (e *Engine) blockData(hash uint64) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], hash)
	b := make([]byte, cmp.Or(e.KVBlockBytes, defaultKVBlockBytes))
	_, _ = rand.NewChaCha8(seed).Read(b) // ChaCha8.Read never fails
	return b
}
