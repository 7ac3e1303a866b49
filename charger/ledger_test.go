package charger

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/accountant"
)

var start = time.Unix(1000, 0)

func request(units float64) Request {
	return Request{Organisation: "o", Units: units, PatientUntil: start.Add(250 * time.Millisecond)}
}

// decision returns the decision on a ticket, and false if there is none.
func decision(ticket *Ticket) (Decision, bool) {
	select {
	case d := <-ticket.decided:
		return d, true
	default:
		return Decision{}, false
	}
}

func grantOf(covered int, spare float64, retryAt time.Time) []accountant.Grant {
	return []accountant.Grant{{
		Organisation: "o", Covered: covered, Spare: spare, DueAt: start, ExpiresAt: start.Add(time.Second), RetryAt: retryAt,
	}}
}

// Guards against large requests that starve behind small ones: a grant covers requests in
// the order of their arrival.
func TestGrantsCoverRequestsInOrder(t *testing.T) {
	l := NewLedger()
	large, small := l.Charge(start, request(5000)), l.Charge(start, request(200))
	assert.DeepEqual(t, l.Wants(start)[0].Costs, []float64{5000, 200})
	l.Grant(start, grantOf(1, 0, start.Add(100*time.Millisecond)))
	granted, decided := decision(large)
	assert.Assert(t, decided && granted.Err == nil)
	_, decided = decision(small)
	assert.Assert(t, !decided, "it can still be covered in time")
}

// Guards against requests that wait for a quota although they are known to be too late.
func TestRequestsBeyondTheQuotaAreRefusedAtOnce(t *testing.T) {
	l := NewLedger()
	first := l.Charge(start, request(5000))
	l.Wants(start)
	retryAt := start.Add(time.Second)
	l.Grant(start, grantOf(0, 0, retryAt))
	for name, ticket := range map[string]*Ticket{"asked for": first, "later": l.Charge(start, request(200))} {
		refused, decided := decision(ticket)
		var quota *QuotaError
		assert.Assert(t, decided && errors.As(refused.Err, &quota), name)
		assert.Equal(t, quota.RetryAt, retryAt)
	}
	assert.Equal(t, len(l.Wants(start)), 0)
}

// Guards against units that are lost, or counted twice, when a caller leaves while its
// question is in flight.
func TestUnitsOfWithdrawnRequestsServeOthers(t *testing.T) {
	l := NewLedger()
	gone := l.Charge(start, request(1000))
	l.Wants(start)
	l.Withdraw(gone)
	l.Grant(start, grantOf(1, 0, time.Time{}))
	_, decided := decision(l.Charge(start, request(1000)))
	assert.Assert(t, decided)
	_, decided = decision(l.Charge(start, request(1)))
	assert.Assert(t, !decided)
}

// Guards against units that are used after their expiry, when the leader may have granted
// them to others.
func TestUnitsExpire(t *testing.T) {
	l := NewLedger()
	l.Charge(start, request(1))
	l.Wants(start)
	l.Grant(start, grantOf(1, 1000, time.Time{}))
	_, decided := decision(l.Charge(start.Add(time.Second), request(1)))
	assert.Assert(t, !decided)
	l.Return(start.Add(time.Second), request(500), start.Add(time.Second))
	_, decided = decision(l.Charge(start.Add(time.Second), request(1)))
	assert.Assert(t, !decided, "returned units have expired too")
}

// Guards against a question that is lost together with the requests in it.
func TestUnansweredQuestionsAreAskedAgain(t *testing.T) {
	l := NewLedger()
	l.Charge(start, request(1000))
	assert.Equal(t, len(l.Wants(start)), 1)
	assert.Equal(t, len(l.Wants(start)), 0, "one question at a time")
	l.Fail()
	next, waiting := l.Next(start)
	assert.Assert(t, waiting && next.Equal(start))
	assert.Equal(t, len(l.Wants(start)), 1)
}

// Guards against spare units for organisations that are rarely seen, which would expire
// unused.
func TestOnlyFrequentOrganisationsGetSpareUnits(t *testing.T) {
	l := NewLedger()
	l.Charge(start, request(1000))
	assert.Equal(t, l.Wants(start)[0].Spare, 0.0)
	l.Fail()
	for range 7 {
		l.Charge(start, request(1000))
	}
	assert.Equal(t, l.Wants(start)[0].Spare, 2000.0)
}
