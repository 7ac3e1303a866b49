package broadcaster

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/surveyor"
)

const (
	// entriesPerReader is the size of a group of entries that share one reading of
	// the platform's list. It limits both the reads of a large fleet and the work
	// that one entry does for others.
	entriesPerReader = 16
	// avoidDuration is the time for which a reader is not used after a failure.
	avoidDuration = 3 * time.Second
)

// NoReaderError reports that no other entry reads the platform's list for this
// one.
type NoReaderError struct{}

// Error implements error.
func (e *NoReaderError) Error() string { return "no other entry reads the list for this one" }

// RequestReading requests a reading from the entry that reads the platform's list
// for this one. It returns a *NoReaderError if there is none, because this entry is
// the first of its group or all readers before it are avoided.
func (b *Broadcaster) RequestReading(ctx context.Context, request surveyor.ReadingRequest) (surveyor.Reading, error) {
	address, found := b.selectReader(time.Now())
	if !found {
		return surveyor.Reading{}, &NoReaderError{}
	}
	reading, err := b.requestFrom(ctx, address, request)
	if err != nil {
		b.avoid(address, time.Now().Add(avoidDuration))
	}
	return reading, err
}

func (b *Broadcaster) requestFrom(ctx context.Context, address string, request surveyor.ReadingRequest) (surveyor.Reading, error) {
	link, err := b.settings.Links.Connect(address)
	if err != nil {
		return surveyor.Reading{}, err
	}
	sentAt := time.Now()
	reply, err := wire.NewReadingsClient(link).Read(ctx, encoder.EncodeReadingRequest(request, sentAt))
	if err != nil {
		return surveyor.Reading{}, err
	}
	return encoder.DecodeReading(reply, sentAt), nil
}

// selectReader returns the first reader that is not avoided.
func (b *Broadcaster) selectReader(now time.Time) (string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := slices.IndexFunc(b.readers, func(address string) bool { return !now.Before(b.avoided[address]) })
	if i < 0 {
		return "", false
	}
	return b.readers[i], true
}

func (b *Broadcaster) avoid(address string, until time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.avoided[address] = until
}

// setReaders sets the entries that may read for this one. The caller holds the mutex.
func (b *Broadcaster) setReaders(readers []string) {
	b.readers = readers
	for address := range b.avoided {
		if !slices.Contains(readers, address) {
			delete(b.avoided, address)
		}
	}
}

// readingsServer serves readings to other entries.
type readingsServer struct {
	wire.UnimplementedReadingsServer
	serve func(ctx context.Context, request surveyor.ReadingRequest) (surveyor.Reading, error)
}

// Read returns the last reading, or a new one if the last is too old.
func (r *readingsServer) Read(ctx context.Context, request *wire.ReadingRequest) (*wire.ReadingReply, error) {
	reading, err := r.serve(ctx, encoder.DecodeReadingRequest(request, time.Now()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encoder.EncodeReading(reading, time.Now()), nil
}
