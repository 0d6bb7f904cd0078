package sock

// Unreached chooses the device to which a listener is bound.
var Unreached = unreached
