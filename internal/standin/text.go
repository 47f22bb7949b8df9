package standin

import (
	"encoding/json"
	"fmt"
	"strings"
)

// CompletionText returns the text of a whole or streamed completion. A stream without the final [DONE] event is an error.
func CompletionText(data []byte, stream bool) (string, error) {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if !stream {
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
			return "", fmt.Errorf("no completion in %q", data)
		}
		return chunk.Choices[0].Text, nil
	}
	var text strings.Builder
	for event := range strings.SplitSeq(string(data), "\n\n") {
		payload, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			return text.String(), nil
		}
		chunk.Choices = nil
		if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
			return "", err
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
	return "", fmt.Errorf("the stream broke off after %d bytes", text.Len())
}
