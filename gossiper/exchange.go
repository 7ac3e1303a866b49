package gossiper

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/follower"
)

// Exchange merges the peer's crashes and returns this entry's digest.
func (g *Gossiper) Exchange(_ context.Context, remote *wire.PeerDigest) (*wire.PeerDigest, error) {
	g.mergeCrashes(remote, time.Now())
	return g.digest(time.Now()), nil
}

// Fetch returns the latest catalog known to this entry.
func (g *Gossiper) Fetch(context.Context, *wire.FetchRequest) (*wire.FetchReply, error) {
	catalog := g.settings.Follower.Latest()
	data, err := encoder.EncodeDelta(cataloger.Delta{To: catalog.Revision, Changes: catalog.Changes()})
	if err != nil {
		return nil, err
	}
	return &wire.FetchReply{Snapshot: data}, nil
}

// exchange exchanges digests with a peer and adopts newer content of the peer's.
func (g *Gossiper) exchange(peer string) error {
	link, err := g.settings.Links.Connect(peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	remote, err := wire.NewPeerClient(link).Exchange(ctx, g.digest(sentAt))
	if err != nil {
		if ctx.Err() != nil {
			g.settings.Links.Drop(peer, link)
		}
		return err
	}
	g.mergeCrashes(remote, time.Now())
	return g.enqueueOffer(ctx, link, remote, sentAt)
}

func (g *Gossiper) mergeCrashes(remote *wire.PeerDigest, now time.Time) {
	g.settings.Quarantine.Merge(encoder.DecodeCrashes(remote.GetCrashes(), now))
	g.settings.Quarantine.MergeRosters(encoder.DecodeRosters(remote.GetRosters(), now))
}

// enqueueOffer passes the peer's confirmation, and its catalog if newer, to the
// follower. The age of the confirmation counts from sentAt, which is before the peer
// computed it.
func (g *Gossiper) enqueueOffer(ctx context.Context, link *grpc.ClientConn, remote *wire.PeerDigest, sentAt time.Time) error {
	offer := follower.Offer{}
	if age := remote.GetConfirmedAgeMs(); age >= 0 {
		offer.Confirmation = follower.Confirmation{
			Revision: remote.GetConfirmed(),
			At:       sentAt.Add(-time.Duration(age+1) * time.Millisecond),
		}
	}
	if remote.GetRevision() > g.settings.Follower.Latest().Revision {
		catalog, err := fetch(ctx, link)
		if err != nil {
			return err
		}
		offer.Catalog = catalog
	}
	g.settings.Follower.EnqueueOffer(offer)
	return nil
}

func fetch(ctx context.Context, link *grpc.ClientConn) (*cataloger.Catalog, error) {
	reply, err := wire.NewPeerClient(link).Fetch(ctx, &wire.FetchRequest{})
	if err != nil {
		return nil, err
	}
	delta, err := encoder.DecodeDelta(reply.GetSnapshot())
	if err != nil {
		return nil, err
	}
	return cataloger.New().With(delta)
}

// digest returns the revisions known to this entry. The age of the confirmation is -1
// if there is none.
func (g *Gossiper) digest(now time.Time) *wire.PeerDigest {
	confirmation := g.settings.Follower.Confirmed()
	digest := &wire.PeerDigest{
		Entry:          g.settings.Entry,
		Revision:       g.settings.Follower.Latest().Revision,
		Confirmed:      confirmation.Revision,
		ConfirmedAgeMs: -1,
		Crashes:        encoder.EncodeCrashes(g.settings.Quarantine.Crashes(), now),
		Rosters:        encoder.EncodeRosters(g.settings.Quarantine.Rosters(), now),
	}
	if !confirmation.At.IsZero() {
		digest.ConfirmedAgeMs = now.Sub(confirmation.At).Milliseconds()
	}
	return digest
}
