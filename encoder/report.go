package encoder

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// Names of roles in load reports and orders.
const (
	roleMixed   = "mixed"
	rolePrefill = "prefill"
	roleDecode  = "decode"
)

// DecodeReport converts a load report that was received at the given time.
func DecodeReport(wire LoadReport, received time.Time) estimator.Report {
	return estimator.Report{
		Upstream:               wire.Upstream,
		Incarnation:            wire.Incarnation,
		Sequence:               wire.Sequence,
		Taken:                  wire.Taken,
		Received:               received,
		Running:                wire.Running,
		Waiting:                wire.Waiting,
		Slots:                  wire.Slots,
		WaitingTokens:          wire.WaitingTokens,
		PrefillTokensPerSecond: wire.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  wire.DecodeTokensPerSecond,
		MemoryBytes:            wire.MemoryBytes,
		UsedBytes:              wire.UsedBytes,
		Models:                 wire.Models,
		Adapters:               wire.Adapters,
		Role:                   DecodeRole(wire.Role),
		LastOrder:              wire.LastOrder,
		Leaving:                wire.Leaving,
	}
}

// DecodeRole returns the role with the given name, RoleMixed if it is unknown.
func DecodeRole(name string) cataloger.Role {
	switch name {
	case rolePrefill:
		return cataloger.RolePrefill
	case roleDecode:
		return cataloger.RoleDecode
	default:
		return cataloger.RoleMixed
	}
}

// EncodeRole returns a role's name.
func EncodeRole(role cataloger.Role) string {
	switch role {
	case cataloger.RolePrefill:
		return rolePrefill
	case cataloger.RoleDecode:
		return roleDecode
	default:
		return roleMixed
	}
}
