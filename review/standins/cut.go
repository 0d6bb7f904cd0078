package main

import (
	"net"
	"syscall"
)

// cutCPU is the processor on which the host that is cut runs alone. On loopback all hosts have one address, so a server
// tells the packets of that host by the processor that sends them.
const cutCPU = 0

// setCut makes a listener leave the opening packets of the host that is cut unanswered, or answers them again.
func setCut(listener *net.TCPListener, cut bool) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	const (
		flagsOffset  = 13
		synAck       = 0x12
		syn          = 0x02
		cpuOffset    = 0xfffff000 + 36
		acceptPacket = 0xffffffff
	)
	filter := []syscall.SockFilter{
		*syscall.LsfStmt(syscall.BPF_LD|syscall.BPF_B|syscall.BPF_ABS, flagsOffset),
		*syscall.LsfStmt(syscall.BPF_ALU|syscall.BPF_AND|syscall.BPF_K, synAck),
		*syscall.LsfJump(syscall.BPF_JMP|syscall.BPF_JEQ|syscall.BPF_K, syn, 0, 2),
		*syscall.LsfStmt(syscall.BPF_LD|syscall.BPF_W|syscall.BPF_ABS, cpuOffset),
		*syscall.LsfJump(syscall.BPF_JMP|syscall.BPF_JEQ|syscall.BPF_K, cutCPU, 1, 0),
		*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, acceptPacket),
		*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0),
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		if cut {
			failure = syscall.AttachLsf(int(descriptor), filter)
		} else {
			failure = syscall.DetachLsf(int(descriptor))
		}
	})
	if err != nil {
		return err
	}
	return failure
}
