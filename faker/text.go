package faker

import (
	"strings"

	"burdocklink/encoder"
)

// words are the texts of the tokens that a stand-in engine generates.
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

// bytesPerToken converts the length of a prompt into tokens.
const bytesPerToken = 4

const (
	// meanAnswerTokens applies to answers without max_tokens.
	meanAnswerTokens = 24
	// maxAnswerTokens limits answers without max_tokens.
	maxAnswerTokens = 4096
)

// hash continues a 64-bit FNV-1a hash with a text.
func hash(state uint64, text string) uint64 {
	for i := range len(text) {
		state = (state ^ uint64(text[i])) * hashPrime
	}
	return state
}

// generator produces the tokens of one answer. Each token depends only on the
// model and all text before it, so that another engine continues with the same
// text.
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

// ended reports whether an answer without max_tokens ends with the last token.
func (g *generator) ended() bool { return (g.state>>16)%meanAnswerTokens == 0 }

// Text returns the text of the first tokens of the answer to a request, for
// comparison with what a caller received.
func Text(request encoder.ChatRequest, tokens int) string {
	source := newGenerator(request.Model, prompt(request))
	var text strings.Builder
	for range tokens {
		text.WriteString(source.next())
	}
	return text.String()
}

// FullText returns the complete answer to a request and its number of tokens.
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

// prompt returns the messages or the prompt of a request as one text, which the
// answer continues.
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

// countTokens returns the length of a text in tokens, rounded up.
func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
