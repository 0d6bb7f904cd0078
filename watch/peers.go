package watch

import (
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// Peers keeps the hosts that have announced themselves.
type Peers struct {
	logger *zap.Logger
	change func(peers []cherrykeel.Peer)

	mutex   sync.Mutex
	peers   map[string]cherrykeel.Peer
	offsets map[string]int64
}

// NewPeers returns a view of the hosts' announcements; change is called with all of them.
func NewPeers(logger *zap.Logger, change func([]cherrykeel.Peer)) *Peers {
	return &Peers{logger: logger, change: change, peers: map[string]cherrykeel.Peer{}, offsets: map[string]int64{}}
}

// EncodePeer returns the record's value.
func EncodePeer(peer cherrykeel.Peer) ([]byte, error) {
	return json.Marshal(peer)
}

// Apply takes what the topic brought.
func (peers *Peers) Apply(update Update) {
	peers.mutex.Lock()
	for _, record := range update.Records {
		peers.take(record)
	}
	all := peers.all()
	peers.mutex.Unlock()
	peers.change(all)
}

func (peers *Peers) take(record cherrykeel.KeyedRecord) {
	if record.Offset < peers.offsets[record.Key] {
		return
	}
	peers.offsets[record.Key] = record.Offset
	if len(record.Value) == 0 {
		delete(peers.peers, record.Key)
		return
	}
	var peer cherrykeel.Peer
	err := json.Unmarshal(record.Value, &peer)
	if err != nil {
		events.Log(peers.logger, events.RecordInvalid, zap.String("Key", record.Key), zap.Int64("Offset", record.Offset), zap.Error(err))
		return
	}
	peers.peers[record.Key] = peer
	events.Log(peers.logger, events.PeerSeen,
		zap.String("Host", peer.Name), zap.String("Life", peer.Life), zap.String("Address", peer.Inner), zap.Int64("Offset", record.Offset))
}

func (peers *Peers) all() []cherrykeel.Peer {
	var all []cherrykeel.Peer
	for _, peer := range peers.peers {
		all = append(all, peer)
	}
	return all
}

// Current returns the hosts.
func (peers *Peers) Current() []cherrykeel.Peer {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.all()
}
