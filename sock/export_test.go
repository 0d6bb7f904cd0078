package sock

// UnusedDevice returns the device to which a listener is bound.
var UnusedDevice = unusedDevice
