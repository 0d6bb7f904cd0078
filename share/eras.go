package share

import "cherrykeel"

// Hosts of builds that know no eras send offsets alone. So messages have offsets, as those hosts expect them, and their
// eras apart; a message of such a host is of the era in which this host has read the store since its start. Once the store
// has come back from a copy, what such a host has read before cannot be told from what it reads since, and counts as older
// than all else.

// splitEras replaces the positions of an announcement by offsets and their eras.
func (announcement *Announcement) splitEras() {
	records := make([]cherrykeel.KeyedRecord, len(announcement.Records))
	eras := make([]int64, len(announcement.Records), len(announcement.Records)+1)
	hasEra := cherrykeel.EraOf(announcement.PreviousOffset) > 0
	for i, record := range announcement.Records {
		eras[i] = cherrykeel.EraOf(record.Offset)
		hasEra = hasEra || eras[i] > 0
		record.Offset = cherrykeel.OffsetOf(record.Offset)
		records[i] = record
	}
	announcement.KnowsEras = true
	announcement.Records = records
	if hasEra {
		announcement.Eras = append(eras, cherrykeel.EraOf(announcement.PreviousOffset))
	}
	announcement.PreviousOffset = cherrykeel.OffsetOf(announcement.PreviousOffset)
}

// joinEras replaces the offsets of an announcement by positions; defaultEra is the era of hosts that know none.
func (announcement *Announcement) joinEras(defaultEra int64) {
	eraAt := func(i int) int64 {
		switch {
		case !announcement.KnowsEras:
			return defaultEra
		case i < len(announcement.Eras):
			return announcement.Eras[i]
		default:
			return 0
		}
	}
	for i := range announcement.Records {
		announcement.Records[i].Offset = joinEra(eraAt(i), announcement.Records[i].Offset)
	}
	announcement.PreviousOffset = joinEra(eraAt(len(announcement.Records)), announcement.PreviousOffset)
	announcement.Eras, announcement.KnowsEras = nil, false
}

// splitEras replaces the positions of a report by offsets and their eras.
func (report *Report) splitEras() {
	offsets := make(map[string]int64, len(report.Offsets))
	report.Eras = nil
	for topic, position := range report.Offsets {
		offsets[topic] = cherrykeel.OffsetOf(position)
		era := cherrykeel.EraOf(position)
		if era == 0 {
			continue
		}
		if report.Eras == nil {
			report.Eras = map[string]int64{}
		}
		report.Eras[topic] = era
	}
	report.Offsets = offsets
	report.KnowsEras = true
}

// joinEras replaces the offsets of a report by positions; defaultEra is the era of hosts that know none.
func (report *Report) joinEras(defaultEra int64) {
	for topic, offset := range report.Offsets {
		era := defaultEra
		if report.KnowsEras {
			era = report.Eras[topic]
		}
		report.Offsets[topic] = joinEra(era, offset)
	}
	report.Eras, report.KnowsEras = nil, false
}

// joinEra returns the position of an offset, which may stand for no record.
func joinEra(era, offset int64) int64 {
	if offset < 0 {
		return offset
	}
	return cherrykeel.Position(era, offset)
}
