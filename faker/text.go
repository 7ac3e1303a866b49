package faker

import (
	"strings"

	"burdocklink/encoder"
)

// words are the token texts of the stand-in engine.
var words = [...]string{
	" almond", " apricot", " birch", " cherry", " cocoa", " cream", " fig", " ginger",
	" hazel", " honey", " lemon", " maple", " mint", " nougat", " orange", " peach",
	" pecan", " pepper", " plum", " poppy", " quince", " raisin", " rose", " rum",
	" saffron", " sesame", " sugar", " vanilla", " violet", " walnut", " wheat", " zest",
}

// Constants of the 64-bit FNV-1a hash.
const (
	hashOffset uint64 = 14695981039346656037
	hashPrime  uint64 = 1099511628211
)

// bytesPerToken is the mean length by which prompts are measured.
const bytesPerToken = 4

const (
	// meanAnswerTokens is the mean length of an answer without max_tokens.
	meanAnswerTokens = 24
	// maxAnswerTokens bounds an answer without max_tokens.
	maxAnswerTokens = 4096
)

// hash extends a hash by text.
func hash(state uint64, text string) uint64 {
	for i := range len(text) {
		state = (state ^ uint64(text[i])) * hashPrime
	}
	return state
}

// generator gives the tokens of one answer. The next token depends only on
// the model and on all text before it, so that a continuation elsewhere gives
// the same text.
type generator struct{ state uint64 }

func newGenerator(model, prompt string) generator {
	return generator{state: hash(hash(hashOffset, model), prompt)}
}

// next returns the next token's text.
func (g *generator) next() string {
	word := words[(g.state>>32)%uint64(len(words))]
	g.state = hash(g.state, word)
	return word
}

// ended says whether the text so far ends an answer without a limit.
func (g *generator) ended() bool { return (g.state>>16)%meanAnswerTokens == 0 }

// Text returns the first tokens of the answer to a request. It is what a
// caller must have received.
func Text(request encoder.ChatRequest, tokens int) string {
	source := newGenerator(request.Model, prompt(request))
	var text strings.Builder
	for range tokens {
		text.WriteString(source.next())
	}
	return text.String()
}

// FullText returns the whole answer to a request, and its number of tokens.
func FullText(request encoder.ChatRequest) (string, int) {
	if request.MaxTokens > 0 {
		return Text(request, request.MaxTokens), request.MaxTokens
	}
	source := newGenerator(request.Model, prompt(request))
	var text strings.Builder
	for count := 1; ; count++ {
		text.WriteString(source.next())
		if count >= maxAnswerTokens || source.ended() {
			return text.String(), count
		}
	}
}

// prompt flattens a request to the text that the answer follows.
func prompt(request encoder.ChatRequest) string {
	if len(request.Messages) == 0 {
		return request.Prompt
	}
	var text strings.Builder
	last := len(request.Messages) - 1
	for i, message := range request.Messages {
		text.WriteString(message.Role + ": " + message.Content)
		if i == last && request.ContinueFinalMessage {
			return text.String()
		}
		text.WriteString("\n")
	}
	text.WriteString("assistant: ")
	return text.String()
}

// countTokens measures a text in tokens.
func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
