package encoder

import (
	"encoding/json"

	"burdocklink/auditor"
)

// findingLine is the JSON form of a finding about a configuration.
type findingLine struct {
	Severity string `json:"severity"`
	Place    string `json:"place"`
	Text     string `json:"text"`
}

// EncodeFindings encodes findings as an indented JSON list.
func EncodeFindings(findings []auditor.Finding) ([]byte, error) {
	lines := make([]findingLine, 0, len(findings))
	for _, finding := range findings {
		lines = append(lines, findingLine{Severity: finding.Severity.String(), Place: finding.Place, Text: finding.Text})
	}
	encoded, err := json.MarshalIndent(lines, "", "  ")
	return append(encoded, '\n'), err
}
