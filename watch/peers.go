package watch

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

var errInvalidPeer = errors.New("the host's record lacks its incarnation, or names another host")

// Peers holds the hosts that have announced themselves.
type Peers struct {
	clock    cherrykeel.Clock
	logger   *zap.Logger
	onChange func()
	announce func(record cherrykeel.KeyedRecord)

	mutex   sync.Mutex
	peers   map[string]cherrykeel.Peer
	offsets map[string]int64
	readAt  map[string]cherrykeel.Instant
}

// NewPeers returns a view of the hosts' records. It calls onChange after the list has changed, and announce with each
// changed record that this host has read itself outside a snapshot.
func NewPeers(clock cherrykeel.Clock, logger *zap.Logger, onChange func(), announce func(cherrykeel.KeyedRecord)) *Peers {
	return &Peers{
		clock: clock, logger: logger, onChange: onChange, announce: announce,
		peers: map[string]cherrykeel.Peer{}, offsets: map[string]int64{}, readAt: map[string]cherrykeel.Instant{},
	}
}

// EncodePeer returns the value of a host's record.
func EncodePeer(peer cherrykeel.Peer) ([]byte, error) {
	return json.Marshal(peer)
}

// Apply applies an update of the topic.
func (peers *Peers) Apply(update Update) {
	peers.mutex.Lock()
	var changed []cherrykeel.KeyedRecord
	for _, record := range update.Records {
		if peers.applyRecord(record) {
			changed = append(changed, record)
		}
	}
	peers.mutex.Unlock()
	if len(changed) == 0 {
		return
	}
	peers.onChange()
	if update.FromPeer || update.Snapshot {
		return
	}
	for _, record := range changed {
		peers.announce(record)
	}
}

// Offset returns the offset of the newest record, or -1.
func (peers *Peers) Offset() int64 {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	newest := int64(-1)
	for _, offset := range peers.offsets {
		newest = max(newest, offset)
	}
	return newest
}

func (peers *Peers) applyRecord(record cherrykeel.KeyedRecord) bool {
	old, known := peers.offsets[record.Key]
	if known && record.Offset <= old {
		return false
	}
	peers.offsets[record.Key] = record.Offset
	if len(record.Value) == 0 {
		delete(peers.peers, record.Key)
		return true
	}
	peer, err := decodePeer(record)
	if err != nil {
		events.Log(peers.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
		return false
	}
	peers.peers[record.Key] = peer
	peers.readAt[record.Key] = peers.clock.Now()
	events.Log(peers.logger, events.PeerAnnounced,
		zap.String("Host", peer.Name), zap.String("Life", peer.Incarnation), zap.String("Address", peer.InternalAddress), zap.Int64("Offset", record.Offset))
	return true
}

// decodePeer decodes a host's record. A record of another writer must not count as a host, since a keeper needs the
// confirmation of more than half of the hosts.
func decodePeer(record cherrykeel.KeyedRecord) (cherrykeel.Peer, error) {
	var peer cherrykeel.Peer
	err := json.Unmarshal(record.Value, &peer)
	if err != nil {
		return peer, err
	}
	_, err = netip.ParseAddrPort(peer.InternalAddress)
	if err != nil {
		return peer, err
	}
	if peer.Name != record.Key || peer.Incarnation == "" {
		return peer, errInvalidPeer
	}
	return peer, nil
}

// Current returns the hosts, in no particular order.
func (peers *Peers) Current() []cherrykeel.Peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	all := make([]cherrykeel.Peer, 0, len(peers.peers))
	for _, peer := range peers.peers {
		all = append(all, peer)
	}
	return all
}

// Incarnation returns the incarnation that a host has announced; false if it has not announced itself.
func (peers *Peers) Incarnation(name string) (string, bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peer, known := peers.peers[name]
	return peer.Incarnation, known
}

// RecordAge returns the time since a host's record was read.
func (peers *Peers) RecordAge(name string) time.Duration {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.clock.Now().Sub(peers.readAt[name])
}
