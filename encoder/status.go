package encoder

import (
	"encoding/json"
	"time"

	"burdocklink/encoder/wire"
)

// StatusPage is the output of `status --output json`.
type StatusPage struct {
	Member    string         `json:"member"`
	Leader    string         `json:"leader"`
	Term      uint64         `json:"term"`
	Revision  uint64         `json:"revision"`
	Moves     uint64         `json:"moves"`
	Members   []MemberLine   `json:"members"`
	Entries   []EntryLine    `json:"entries"`
	Upstreams []UpstreamLine `json:"upstreams"`
	Orders    []OrderLine    `json:"orders"`
	Classes   []ClassLine    `json:"classes"`
}

// MemberLine is one control member.
type MemberLine struct {
	Name    string `json:"name"`
	Disk    string `json:"disk"`
	Address string `json:"address"`
	Role    string `json:"role"`
}

// EntryLine is one entry.
type EntryLine struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	Revision         uint64 `json:"revision"`
	InForce          bool   `json:"in-force"`
	SilentMs         int64  `json:"silent-ms"`
}

// UpstreamLine is one upstream.
type UpstreamLine struct {
	Name             string   `json:"name"`
	AvailabilityZone string   `json:"availability-zone"`
	Service          string   `json:"service"`
	State            string   `json:"state"`
	MemoryBytes      int64    `json:"memory-bytes"`
	HeldBytes        int64    `json:"held-bytes"`
	Models           []string `json:"models"`
	Adapters         []string `json:"adapters"`
}

// OrderLine is one unsettled order.
type OrderLine struct {
	ID       uint64 `json:"id"`
	Upstream string `json:"upstream"`
	Work     string `json:"work"`
}

// ClassLine is one class with its target and counts of its requests by outcome.
type ClassLine struct {
	Name            string `json:"name"`
	FirstToken      string `json:"first-token,omitempty"`
	BetweenTokens   string `json:"between-tokens,omitempty"`
	Whole           string `json:"whole,omitempty"`
	RepeatForbidden bool   `json:"repeat-forbidden"`
	// Attained is the share of requests that met the target, nil if there were no
	// requests.
	Attained *float64 `json:"attained,omitempty"`
	Ended    uint64   `json:"ended"`
	Missed   uint64   `json:"missed"`
	Refused  uint64   `json:"refused"`
}

// ChangeLine is one accepted operator change in the history.
type ChangeLine struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	Request  string    `json:"request"`
	Changes  []string  `json:"changes"`
}

// DecodeStatus converts a member's reply.
func DecodeStatus(reply *wire.StatusReply) StatusPage {
	page := StatusPage{
		Member:   reply.GetMember(),
		Leader:   reply.GetLeader(),
		Term:     reply.GetTerm(),
		Revision: reply.GetRevision(),
		Moves:    reply.GetMoves(),
	}
	for _, member := range reply.GetMembers() {
		page.Members = append(page.Members, MemberLine{
			Name:    member.GetName(),
			Disk:    member.GetDisk(),
			Address: member.GetAddress(),
			Role:    member.GetRole(),
		})
	}
	for _, entry := range reply.GetEntries() {
		page.Entries = append(page.Entries, EntryLine{
			Name:             entry.GetName(),
			AvailabilityZone: entry.GetAvailabilityZone(),
			Revision:         entry.GetRevision(),
			InForce:          entry.GetInForce(),
			SilentMs:         entry.GetSilentMs(),
		})
	}
	for _, upstream := range reply.GetUpstreams() {
		page.Upstreams = append(page.Upstreams, decodeUpstreamLine(upstream))
	}
	for _, order := range reply.GetOrders() {
		page.Orders = append(page.Orders, OrderLine{
			ID:       order.GetId(),
			Upstream: order.GetUpstream(),
			Work:     order.GetWork(),
		})
	}
	for _, class := range reply.GetClasses() {
		page.Classes = append(page.Classes, decodeClassLine(class))
	}
	return page
}

func decodeUpstreamLine(upstream *wire.UpstreamState) UpstreamLine {
	return UpstreamLine{
		Name:             upstream.GetName(),
		AvailabilityZone: upstream.GetAvailabilityZone(),
		Service:          upstream.GetService(),
		State:            upstream.GetState(),
		MemoryBytes:      upstream.GetMemoryBytes(),
		HeldBytes:        upstream.GetHeldBytes(),
		Models:           upstream.GetModels(),
		Adapters:         upstream.GetAdapters(),
	}
}

func decodeClassLine(class *wire.ClassState) ClassLine {
	return ClassLine{
		Name:            class.GetName(),
		FirstToken:      milliseconds(class.GetFirstTokenMs()),
		BetweenTokens:   milliseconds(class.GetBetweenTokensMs()),
		Whole:           milliseconds(class.GetWholeMs()),
		RepeatForbidden: class.GetRepeatForbidden(),
		Ended:           class.GetEnded(),
		Missed:          class.GetMissed(),
		Refused:         class.GetRefused(),
		Attained:        attained(class),
	}
}

// attained returns the share of a class's requests that met its target, nil if there
// were no requests. The missed requests include the refused ones.
func attained(class *wire.ClassState) *float64 {
	all := class.GetEnded() + class.GetRefused()
	if all == 0 {
		return nil
	}
	share := 1 - float64(class.GetMissed())/float64(all)
	return &share
}

// milliseconds formats a target in milliseconds; zero means no target.
func milliseconds(count int64) string {
	if count == 0 {
		return ""
	}
	return (time.Duration(count) * time.Millisecond).String()
}

// DecodeHistory converts a member's reply.
func DecodeHistory(reply *wire.HistoryReply) []ChangeLine {
	var lines []ChangeLine
	for _, record := range reply.GetRecords() {
		lines = append(lines, ChangeLine{
			Revision: record.GetRevision(),
			At:       time.UnixMilli(record.GetAtUnixMs()).UTC(),
			Operator: record.GetOperator(),
			Request:  record.GetRequest(),
			Changes:  record.GetChanges(),
		})
	}
	return lines
}

// Indent encodes a page as indented JSON.
func Indent(page any) ([]byte, error) {
	return json.MarshalIndent(page, "", "  ")
}

// AcceptedPage is the output of an accepted change with `--output json`.
type AcceptedPage struct {
	Request  string `json:"request"`
	Revision uint64 `json:"revision"`
}
