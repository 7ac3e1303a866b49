package surveyor

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReadingRequest asks another entry for its reading of the platform's list.
type ReadingRequest struct {
	// Digest is the digest of the list that the asking entry knows.
	Digest uint64
	// NotBefore is the time of the oldest useful reading.
	NotBefore time.Time
}

// Reading is the platform's list as read at a time.
type Reading struct {
	ReadAt time.Time
	// Unchanged is true if the list matches the digest of the request. Upstreams is
	// then empty.
	Unchanged bool
	Upstreams []Upstream
}

// sharedRead is a read in progress with several waiters.
type sharedRead struct {
	done chan struct{}
	err  error
}

// refresh asks another entry for its reading and falls back to reading the list.
// After a failed read it skips the peer, since too much time has already passed.
func (s *Surveyor) refresh(failed bool) error {
	if s.settings.AskPeer != nil && !failed && s.readFromPeer() == nil {
		return nil
	}
	return s.readShared(s.ctx)
}

// readFromPeer asks another entry for its reading and applies it.
func (s *Surveyor) readFromPeer() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.Interval/peerTimeoutDivisor)
	defer cancel()
	requestedAt := time.Now()
	request := s.readingRequest()
	reading, err := s.settings.AskPeer(ctx, request)
	if err != nil {
		return err
	}
	if reading.ReadAt.Before(request.NotBefore) {
		return &StaleError{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !reading.Unchanged {
		listed := make(map[string]Upstream, len(reading.Upstreams))
		for _, upstream := range reading.Upstreams {
			listed[upstream.Name] = upstream
		}
		return s.accept(listed, requestedAt, reading.ReadAt)
	}
	if s.readAt.After(reading.ReadAt) || s.digest() != request.Digest {
		return &SupersededError{}
	}
	if !s.recordRead(reading.ReadAt) {
		return &StaleError{}
	}
	s.expireHoldings(time.Now())
	return nil
}

func (s *Surveyor) readingRequest() ReadingRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return ReadingRequest{Digest: s.digest(), NotBefore: s.readAt.Add(s.settings.Interval / freshnessDivisor)}
}

// ServeReading returns the last reading of the list, after a new read if the last
// one is older than requested. Concurrent requests share one read. It returns
// *StaleError if the VM has just been suspended.
func (s *Surveyor) ServeReading(ctx context.Context, request ReadingRequest) (Reading, error) {
	if s.readBefore(request.NotBefore) {
		err := s.readShared(ctx)
		if err != nil && s.readBefore(request.NotBefore) {
			return Reading{}, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readAt.IsZero() {
		return Reading{}, &StaleError{}
	}
	reading := Reading{ReadAt: s.readAt, Unchanged: s.digest() == request.Digest}
	if !reading.Unchanged {
		for _, upstream := range s.listed {
			reading.Upstreams = append(reading.Upstreams, upstream)
		}
	}
	return reading, nil
}

func (s *Surveyor) readBefore(at time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.detectSuspension()
	return s.readAt.Before(at)
}

// readShared reads the list, or waits for the read in progress.
func (s *Surveyor) readShared(ctx context.Context) error {
	s.mutex.Lock()
	read := s.inFlight
	if read == nil {
		read = &sharedRead{done: make(chan struct{})}
		s.inFlight = read
		go s.runRead(read)
	}
	s.mutex.Unlock()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Surveyor) runRead(read *sharedRead) {
	read.err = s.read()
	s.mutex.Lock()
	s.inFlight = nil
	s.mutex.Unlock()
	close(read.done)
}

// digest returns the digest of the known list. The mutex must be held.
func (s *Surveyor) digest() uint64 {
	if !s.digestValid {
		s.listDigest, s.digestValid = digestOf(s.listed), true
	}
	return s.listDigest
}

// digestOf returns a digest that does not depend on the order of upstreams.
func digestOf(listed map[string]Upstream) uint64 {
	var sum uint64
	var hash xxhash.Digest
	for _, upstream := range listed {
		hash.Reset()
		upstream.hashInto(&hash)
		sum += hash.Sum64()
	}
	return sum
}

// hashInto hashes the fields that entries exchange.
func (u Upstream) hashInto(hash *xxhash.Digest) {
	var numbers [16]byte
	hashStrings(hash, u.Name, u.Incarnation, u.Service, u.Address, u.AvailabilityZone, u.Software)
	binary.LittleEndian.PutUint64(numbers[:8], uint64(u.Slots))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(u.State))
	_, _ = hash.Write(numbers[:])
	for _, held := range u.Holds {
		hashStrings(hash, held.Model)
		binary.LittleEndian.PutUint64(numbers[:8], uint64(held.Version))
		binary.LittleEndian.PutUint64(numbers[8:], uint64(len(held.Adapters)))
		_, _ = hash.Write(numbers[:])
		hashStrings(hash, held.Adapters...)
	}
}

// hashStrings terminates each string, so that different sequences can't hash alike.
func hashStrings(hash *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
}
