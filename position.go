package cherrykeel

// offsetBits is the width of an offset within an era; with it, the first 2,000 eras stay below 2^53, up to which JSON
// numbers are exact in every reader.
const offsetBits = 42

// Position returns the place of a record in the order over all eras of a store. A store that comes back from a copy gives
// offsets out again in the next era; every record of that era counts as later than all records of the eras before. In
// the era 0, of a store that names none, positions are the offsets.
func Position(era, offset int64) int64 {
	return era<<offsetBits + offset
}

// EraOf returns the era of a position; negative positions stand for no record and are in the era 0.
func EraOf(position int64) int64 {
	return max(0, position) >> offsetBits
}

// OffsetOf returns the offset of a position within its era.
func OffsetOf(position int64) int64 {
	return position - EraOf(position)<<offsetBits
}
