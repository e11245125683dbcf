package fakeengine

import (
	"container/list"
	"encoding/json"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/target"
)

// blockTokens is the size of one cached block, in tokens.
const blockTokens = 16

// prefixCache holds hashes of token blocks and evicts the least recently used ones.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	// requests maps answered requests to their blocks, for exports and events.
	requests map[string][]uint64
	// requestByLastBlock maps a block to the request that it completes: without its last block,
	// the request's prefix is incomplete.
	requestByLastBlock map[uint64]string
	events             eventLog
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element), requests: make(map[string][]uint64), requestByLastBlock: make(map[uint64]string)}
}

// blockHashes returns the chained hashes of the full blocks of a prompt.
func blockHashes(tokens []string) []uint64 {
	hashes := make([]uint64, 0, len(tokens)/blockTokens)
	digest := xxhash.New()
	for i, token := range tokens {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}

// match returns the number of leading tokens that are cached, and marks their blocks as used.
func (c *prefixCache) match(tokens []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	matched := 0
	for _, hash := range blockHashes(tokens) {
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		matched += blockTokens
	}
	return matched
}

func (c *prefixCache) insert(request string, tokens []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hashes := blockHashes(tokens)
	if len(hashes) > 0 {
		c.requests[request] = hashes
		c.requestByLastBlock[hashes[len(hashes)-1]] = request
		c.events.add(target.CacheEvent{RequestID: request})
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		c.add(hashes[i])
	}
}

// add adds one block as the most recently used; c.mu is held.
func (c *prefixCache) add(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		c.evict(last.Value.(uint64))
	}
}

// evict removes a block, and the request whose last block it is.
func (c *prefixCache) evict(hash uint64) {
	delete(c.blocks, hash)
	request, ok := c.requestByLastBlock[hash]
	if !ok {
		return
	}
	delete(c.requestByLastBlock, hash)
	delete(c.requests, request)
	c.events.add(target.CacheEvent{RequestID: request, Evicted: true})
}

func (c *prefixCache) export(requests []string, into io.Writer) error {
	c.mu.Lock()
	var hashes []uint64
	for _, request := range requests {
		for _, hash := range c.requests[request] {
			if _, ok := c.blocks[hash]; ok {
				hashes = append(hashes, hash)
			}
		}
	}
	c.mu.Unlock()
	return errors.Wrap(json.NewEncoder(into).Encode(hashes), "write export")
}

func (c *prefixCache) importBlocks(from io.Reader) error {
	var hashes []uint64
	if err := json.NewDecoder(from).Decode(&hashes); err != nil {
		return errors.Wrap(err, "read export")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(hashes) - 1; i >= 0; i-- {
		c.add(hashes[i])
	}
	return nil
}
