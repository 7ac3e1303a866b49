package encoder

import (
	"time"

	"burdocklink/accountant"
	"burdocklink/encoder/wire"
)

const (
	// maxCosts is the number of waiting requests of one organisation that are decoded.
	maxCosts = 256
	// maxQuotaWants is the number of organisations that are decoded.
	maxQuotaWants = 4096
	// maxUnits is the largest number of units of a quota.
	maxUnits = 1e12
)

// clampUnits limits a number of units to between 0 and maxUnits. NaN becomes 0.
func clampUnits(units float64) float64 {
	if !(units > 0) {
		return 0
	}
	return min(units, maxUnits)
}

// EncodeQuotaWants encodes what an entry wants of organisations' quotas.
func EncodeQuotaWants(entry string, wants []accountant.Want) *wire.ChargeRequest {
	message := &wire.ChargeRequest{Entry: entry}
	for _, want := range wants {
		message.Wants = append(message.Wants, &wire.QuotaWant{Organisation: want.Organisation, Costs: want.Costs, Spare: want.Spare})
	}
	return message
}

// DecodeQuotaWants decodes what an entry wants of organisations' quotas.
func DecodeQuotaWants(message *wire.ChargeRequest) []accountant.Want {
	messages := message.GetWants()
	wants := make([]accountant.Want, 0, min(len(messages), maxQuotaWants))
	for _, each := range messages[:min(len(messages), maxQuotaWants)] {
		want := accountant.Want{Organisation: each.GetOrganisation(), Spare: clampUnits(each.GetSpare())}
		for _, cost := range each.GetCosts()[:min(len(each.GetCosts()), maxCosts)] {
			want.Costs = append(want.Costs, clampUnits(cost))
		}
		wants = append(wants, want)
	}
	return wants
}

// EncodeQuotaGrants encodes grants with times relative to now.
func EncodeQuotaGrants(grants []accountant.Grant, now time.Time) []*wire.QuotaGrant {
	messages := make([]*wire.QuotaGrant, 0, len(grants))
	for _, grant := range grants {
		message := &wire.QuotaGrant{
			Organisation: grant.Organisation,
			Covered:      uint32(grant.Covered),
			Spare:        grant.Spare,
			DueInMs:      millisecondsUntil(grant.DueAt, now),
			ExpiresInMs:  max(0, grant.ExpiresAt.Sub(now).Milliseconds()),
		}
		if !grant.RetryAt.IsZero() {
			message.RetryInMs = max(1, millisecondsUntil(grant.RetryAt, now))
		}
		messages = append(messages, message)
	}
	return messages
}

// DecodeQuotaGrants decodes the grants that answer a question sent at sentAt. The member
// computed the relative times between sentAt and now, so that a grant is due counted from
// now, and expires counted from sentAt.
func DecodeQuotaGrants(messages []*wire.QuotaGrant, sentAt, now time.Time) []accountant.Grant {
	grants := make([]accountant.Grant, 0, len(messages))
	for _, message := range messages {
		grant := accountant.Grant{
			Organisation: message.GetOrganisation(),
			Covered:      int(min(message.GetCovered(), maxCosts)),
			Spare:        clampUnits(message.GetSpare()),
			DueAt:        now.Add(clampMilliseconds(message.GetDueInMs())),
			ExpiresAt:    sentAt.Add(clampMilliseconds(message.GetExpiresInMs())),
		}
		if message.GetRetryInMs() > 0 {
			grant.RetryAt = now.Add(clampMilliseconds(message.GetRetryInMs()))
		}
		grants = append(grants, grant)
	}
	return grants
}
