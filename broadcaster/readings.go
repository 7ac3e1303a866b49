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
	// entriesPerReader is how many neighbouring entries share one reading of the
	// platform's list. It bounds both the readings of a large fleet and what one
	// entry does for others.
	entriesPerReader = 16
	// avoidTime is how long an entry that gave no reading is not asked.
	avoidTime = 3 * time.Second
)

// NobodyError says that no other entry reads the platform's list for this one.
type NobodyError struct{}

// Error describes the state.
func (e *NobodyError) Error() string { return "no other entry reads the list for this one" }

// Ask returns the reading of the entry that reads the platform's list for this
// one. It returns a *NobodyError where this one reads it for others.
func (b *Broadcaster) Ask(ctx context.Context, question surveyor.ReadingRequest) (surveyor.Reading, error) {
	address, found := b.reader(time.Now())
	if !found {
		return surveyor.Reading{}, &NobodyError{}
	}
	reading, err := b.askReader(ctx, address, question)
	if err != nil {
		b.avoid(address, time.Now().Add(avoidTime))
	}
	return reading, err
}

func (b *Broadcaster) askReader(ctx context.Context, address string, question surveyor.ReadingRequest) (surveyor.Reading, error) {
	link, err := b.settings.Links.Connect(address)
	if err != nil {
		return surveyor.Reading{}, err
	}
	sent := time.Now()
	reply, err := wire.NewReadingsClient(link).Read(ctx, encoder.EncodeReadingRequest(question, sent))
	if err != nil {
		return surveyor.Reading{}, err
	}
	return encoder.DecodeReading(reply, sent), nil
}

// reader returns the first entry of the own group that is not avoided.
func (b *Broadcaster) reader(now time.Time) (string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := slices.IndexFunc(b.readers, func(address string) bool { return !now.Before(b.avoided[address]) })
	if at < 0 {
		return "", false
	}
	return b.readers[at], true
}

func (b *Broadcaster) avoid(address string, until time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.avoided[address] = until
}

// setReaders takes in who may read for this entry. The mutex is held.
func (b *Broadcaster) setReaders(readers []string) {
	b.readers = readers
	for address := range b.avoided {
		if !slices.Contains(readers, address) {
			delete(b.avoided, address)
		}
	}
}

// readings answers the questions of other entries.
type readings struct {
	wire.UnimplementedReadingsServer
	answer func(ctx context.Context, question surveyor.ReadingRequest) (surveyor.Reading, error)
}

// Read returns the list as last read, and reads it where that is too long ago.
func (r *readings) Read(ctx context.Context, request *wire.ReadingRequest) (*wire.ReadingReply, error) {
	reading, err := r.answer(ctx, encoder.DecodeReadingRequest(request, time.Now()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encoder.EncodeReading(reading, time.Now()), nil
}
