// Package standin holds a stand-in model engine and a stand-in plain service. They answer over HTTP as the real backend
// servers do, with deterministic answers and their own record of what ran, so that lost and doubled requests show.
package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChatMessage is one message of a chat completion request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that a chat completion stands for.
func ChatPrompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns token i, from 0, of the answer of the model to the prompt. Every holder of the prompt can compute it.
func Token(model, prompt string, i int) string { return newAnswer(model, prompt).token(i) }

// Answer returns the first n tokens of the answer of the model to the prompt.
func Answer(model, prompt string, n int) string {
	a := newAnswer(model, prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(a.token(i))
	}
	return b.String()
}

// answer computes the tokens of one answer from a hash of model and prompt.
type answer struct {
	seed uint64
}

func newAnswer(model, prompt string) answer {
	return answer{xxhash.Sum64String(model + "\x00" + prompt)}
}

func (a answer) token(i int) string {
	x := a.seed + uint64(i)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return "t" + strconv.FormatUint(x&0xffffff, 36) + " "
}

// countTokens returns the length of a prompt in the stand-in's tokens, which are words.
func countTokens(prompt string) int { return len(strings.Fields(prompt)) }
