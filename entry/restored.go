package entry

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
	"cherrykeel/share"
	"cherrykeel/watch"
)

// maxRestoringRank is the highest rank of the hosts that write what a copy lacks again for all.
const maxRestoringRank = 1

// handleRestored handles the first listing of a topic after the store has come back from a copy: the other topics are
// listed too, and what this host answers for and the copy lacks is written again.
func (host *Host) handleRestored(topic string, update watch.Update) {
	for _, other := range host.topics.followers() {
		other.TriggerRead()
	}
	if topic != topicHosts {
		return
	}
	listed := map[string]string{}
	for _, record := range update.Records {
		listed[record.Key] = string(record.Value)
	}
	own, err := watch.EncodePeer(host.self)
	if err == nil && listed[host.self.Name] != string(own) {
		host.mustAnnounce.Store(true)
	}
	host.restoreDenials(listed)
}

// restoreDenials writes the stored records of requests that a copy lacks again. The first hosts do so for all.
func (host *Host) restoreDenials(listed map[string]string) {
	if host.rank() > maxRestoringRank {
		return
	}
	for _, record := range host.denyList.Records() {
		key := deniedPrefix + record.Fingerprint.String()
		if len(record.Crashes) < minStoredCrashes || listed[key] != "" {
			continue
		}
		events.Log(host.logger, events.RecordRestored, zap.String("Topic", topicHosts), zap.String("Key", key))
		host.pendingDenials.Add(record)
	}
}

// defaultEra returns the era of what hosts report that know no eras: the store's, if it has not come back from a copy since
// this host's start. Later, such hosts report what the store had before.
func (host *Host) defaultEra() int64 {
	newest := int64(0)
	for _, topic := range host.topics.followers() {
		era, isFirst := topic.Era()
		if !isFirst {
			return 0
		}
		newest = max(newest, era)
	}
	return newest
}

// announceLostRoutes sends the routes in force to the other hosts while the store lacks them: hosts that have started since
// it came back from a copy have older ones until the operator has written them again.
func (host *Host) announceLostRoutes() {
	record, lost := host.routes.Lost()
	if lost && host.rank() <= maxRestoringRank {
		host.mesh.Announce(topicSettings, []cherrykeel.KeyedRecord{record}, share.NoPreviousChange)
	}
}

// updateEraGauges shows the era of the store that this host has read of each topic, and whether the routes in force are lost.
func (host *Host) updateEraGauges() {
	for name, topic := range host.topics.byName() {
		era, _ := topic.Era()
		host.scope.Tagged(map[string]string{"topic": name}).Gauge("store_era").Update(float64(era))
	}
	_, lost := host.routes.Lost()
	missing := 0.0
	if lost {
		missing = 1
	}
	host.scope.Gauge("lost_routes").Update(missing)
}
