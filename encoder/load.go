package encoder

// LoadLine is the summary of a load test run.
type LoadLine struct {
	Requests          int     `json:"requests"`
	Whole             int     `json:"whole"`
	Refused           int     `json:"refused"`
	Failed            int     `json:"failed"`
	Cut               int     `json:"cut"`
	Tokens            int     `json:"tokens"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
	FirstToken50Ms    float64 `json:"first-token-50-ms"`
	FirstToken95Ms    float64 `json:"first-token-95-ms"`
	BetweenTokens50Ms float64 `json:"between-tokens-50-ms"`
	BetweenTokens95Ms float64 `json:"between-tokens-95-ms"`
}
