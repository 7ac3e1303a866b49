package surveyor

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Question asks another entry for its reading of the platform's list.
type Question struct {
	// Digest stands for the list that the asking entry knows.
	Digest uint64
	// Since is the time of the oldest reading that is of use.
	Since time.Time
}

// Reading is the platform's list as read at a time.
type Reading struct {
	At time.Time
	// Same is true where the question's digest stands for the list, which is left
	// out then.
	Same      bool
	Upstreams []Upstream
}

// flight is one reading that several wait for.
type flight struct {
	done chan struct{}
	err  error
}

// refresh asks another entry for its reading, and reads the list where none is
// had. After a failure it does not ask: it has taken long already.
func (s *Surveyor) refresh(failed bool) error {
	if s.settings.Ask != nil && !failed && s.ask() == nil {
		return nil
	}
	return s.readShared(s.ctx)
}

// ask takes in the reading of another entry.
func (s *Surveyor) ask() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.Interval/askPart)
	defer cancel()
	asked := time.Now()
	question := s.question()
	reading, err := s.settings.Ask(ctx, question)
	if err != nil {
		return err
	}
	if reading.At.Before(question.Since) {
		return &OldError{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !reading.Same {
		listed := make(map[string]Upstream, len(reading.Upstreams))
		for _, upstream := range reading.Upstreams {
			listed[upstream.Name] = upstream
		}
		return s.take(listed, asked, reading.At)
	}
	if s.readAt.After(reading.At) || s.digest() != question.Digest {
		return &OvertakenError{}
	}
	s.readAt = reading.At
	return nil
}

func (s *Surveyor) question() Question {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Question{Digest: s.digest(), Since: s.readAt.Add(s.settings.Interval / newerPart)}
}

// Answer returns the list as last read, and reads it where that was too long
// ago. Questions that come meanwhile share the reading.
func (s *Surveyor) Answer(ctx context.Context, question Question) (Reading, error) {
	if s.readBefore(question.Since) {
		err := s.readShared(ctx)
		if err != nil && s.readBefore(question.Since) {
			return Reading{}, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reading := Reading{At: s.readAt, Same: s.digest() == question.Digest}
	if !reading.Same {
		for _, upstream := range s.listed {
			reading.Upstreams = append(reading.Upstreams, upstream)
		}
	}
	return reading, nil
}

func (s *Surveyor) readBefore(at time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readAt.Before(at)
}

// readShared reads the list, or waits for the reading that is under way.
func (s *Surveyor) readShared(ctx context.Context) error {
	s.mutex.Lock()
	shared := s.flight
	if shared == nil {
		shared = &flight{done: make(chan struct{})}
		s.flight = shared
		go s.runRead(shared)
	}
	s.mutex.Unlock()
	select {
	case <-shared.done:
		return shared.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Surveyor) runRead(shared *flight) {
	shared.err = s.read()
	s.mutex.Lock()
	s.flight = nil
	s.mutex.Unlock()
	close(shared.done)
}

// digest stands for all that is listed. The mutex is held.
func (s *Surveyor) digest() uint64 {
	if !s.digested {
		s.digestOfListed, s.digested = digestOf(s.listed), true
	}
	return s.digestOfListed
}

// digestOf does not depend on the order of the upstreams.
func digestOf(listed map[string]Upstream) uint64 {
	var sum uint64
	var hash xxhash.Digest
	for _, upstream := range listed {
		hash.Reset()
		upstream.addTo(&hash)
		sum += hash.Sum64()
	}
	return sum
}

// addTo adds what entries tell each other of an upstream.
func (u Upstream) addTo(hash *xxhash.Digest) {
	var numbers [16]byte
	addStrings(hash, u.Name, u.Incarnation, u.Service, u.Address, u.AvailabilityZone)
	binary.LittleEndian.PutUint64(numbers[:8], uint64(u.Slots))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(u.State))
	_, _ = hash.Write(numbers[:])
	for _, held := range u.Holds {
		addStrings(hash, held.Model)
		binary.LittleEndian.PutUint64(numbers[:8], uint64(held.Version))
		binary.LittleEndian.PutUint64(numbers[8:], uint64(len(held.Adapters)))
		_, _ = hash.Write(numbers[:])
		addStrings(hash, held.Adapters...)
	}
}

// addStrings ends each text, so that none runs into the next.
func addStrings(hash *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = hash.WriteString(text)
		_, _ = hash.Write([]byte{0})
	}
}
