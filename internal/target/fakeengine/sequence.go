package fakeengine

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/capersaddle/capersaddle/internal/target"
)

const (
	// defaultPieces and pieceSpread set the length of an answer if the caller sets no limit:
	// defaultPieces + hash % pieceSpread.
	defaultPieces = 12
	pieceSpread   = 12
	// pieceBuffer is the number of pieces buffered for a slow reader.
	pieceBuffer = 4096
)

var words = []string{
	"meter", "credit", "shift", "tips", "token", "balance", "share", "night",
	"paid", "due", "checked", "report", "phase", "load", "kitchen", "total",
}

// sequence is one answer. Its text depends only on the prompt and the index, so that any engine
// can resume it at an offset.
type sequence struct {
	id       string
	ctx      context.Context
	cancel   context.CancelFunc
	prompt   []string
	seed     uint64
	priority int32
	total    int64
	limited  bool
	fault    Fault

	// prefill, next, generated and cached belong to the engine's batch loop.
	prefill   int
	next      int64
	generated int
	cached    int64

	pieces chan target.Piece
	ended  chan struct{}
	err    error
}

func newSequence(ctx context.Context, chat target.ChatBody, request target.GenerateRequest) *sequence {
	prompt := promptTokens(chat)
	seed := xxhash.Sum64String(strings.Join(prompt, " "))
	total := int64(defaultPieces + seed%pieceSpread)
	limited := false
	if limit := int64(chat.Limit()); limit > 0 {
		total = limit
		limited = true
	}
	ctx, cancel := context.WithCancel(ctx)
	return &sequence{
		id:       request.RequestID,
		ctx:      ctx,
		cancel:   cancel,
		prompt:   prompt,
		seed:     seed,
		priority: request.Priority,
		total:    total,
		limited:  limited,
		next:     request.Offset,
		pieces:   make(chan target.Piece, pieceBuffer),
		ended:    make(chan struct{}),
	}
}

func promptTokens(chat target.ChatBody) []string {
	var tokens []string
	for i := range chat.Messages {
		tokens = append(tokens, strings.Fields(chat.Messages[i].Text())...)
	}
	return tokens
}

func (s *sequence) text(index int64) string {
	word := words[(s.seed+uint64(index)*7)%uint64(len(words))]
	if index == 0 {
		return word
	}
	return " " + word
}

func (s *sequence) answerTokens() []string {
	tokens := make([]string, 0, s.total)
	for i := range s.total {
		tokens = append(tokens, strings.TrimSpace(s.text(i)))
	}
	return tokens
}

func (s *sequence) finishReason() string {
	if s.limited {
		return "length"
	}
	return "stop"
}

// emit passes a piece to the reader; an answer that is not read in time is cancelled.
func (s *sequence) emit(piece target.Piece) {
	select {
	case s.pieces <- piece:
	default:
		s.cancel()
	}
}

func (s *sequence) end(err error) {
	s.err = err
	close(s.ended)
}

// Next returns the next piece.
func (s *sequence) Next() (target.Piece, error) {
	select {
	case piece := <-s.pieces:
		return piece, nil
	default:
	}
	select {
	case piece := <-s.pieces:
		return piece, nil
	case <-s.ended:
		return s.drain()
	}
}

// drain returns the pieces generated before the end, then the final error.
func (s *sequence) drain() (target.Piece, error) {
	select {
	case piece := <-s.pieces:
		return piece, nil
	default:
	}
	if s.err == nil {
		return target.Piece{}, io.EOF
	}
	return target.Piece{}, s.err
}

// Close cancels the answer.
func (s *sequence) Close() error {
	s.cancel()
	return nil
}

// sortByPriority returns the answers ordered by priority; the order within a priority is kept.
func sortByPriority(running []*sequence) []*sequence {
	ordered := slices.Clone(running)
	slices.SortStableFunc(ordered, func(a, b *sequence) int {
		return cmp.Compare(a.priority, b.priority)
	})
	return ordered
}
