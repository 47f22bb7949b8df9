// Package standin provides a stand-in model engine and a stand-in plain service. They implement the HTTP API of the real
// backend servers with deterministic answers, and record the requests that ran, so that tests can detect lost and duplicated
// requests.
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

// ChatPrompt returns the prompt of a chat completion: its messages, each with its role, joined to one text.
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

// Token returns token i, counted from 0, of the model's answer to the prompt. It depends on the arguments only, so that
// tests can recompute it.
func Token(model, prompt string, i int) string { return newAnswer(model, prompt).token(i) }

// Answer returns the first n tokens of the model's answer to the prompt.
func Answer(model, prompt string, n int) string {
	a := newAnswer(model, prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(a.token(i))
	}
	return b.String()
}

// answer generates the tokens of one answer from a hash of model and prompt.
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

// countTokens returns the length of a prompt in tokens; each word is one token.
func countTokens(prompt string) int { return len(strings.Fields(prompt)) }
