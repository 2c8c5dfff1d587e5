package limiter

import "syscall"

// BytesPerMegabyte is the unit of memory in settings and flags.
const BytesPerMegabyte = 1_000_000

const (
	// defaultMemoryBytes and defaultSockets are the limits of a process whose settings
	// have none: its memory, in bytes, and its sockets.
	defaultMemoryBytes = 256_000_000
	defaultSockets     = 4096
	// maxOwnBytes is what a process on a busy day takes beside what the connections of
	// its listeners do, in bytes: its code, its state, its links and what the garbage
	// collector needs for these.
	maxOwnBytes = 64_000_000
	// maxOwnSockets is how many sockets a process opens itself: links, calls and the
	// listeners.
	maxOwnSockets = 160
	// goMemoryShare is the share of the memory, in percent, at which the garbage collector
	// begins to work more. The code and the kernel's buffers take the rest.
	goMemoryShare = 60
	// maxOperatorConns bounds the connections of a listener for operators' requests or for
	// the balancer's check, where there are few sockets to operatorShare of them, as a
	// divisor. operatorConnBytes is what one of them may take beside ConnBytes, in bytes.
	maxOperatorConns  = 16
	operatorShare     = 16
	operatorConnBytes = 128 << 10
)

// Instance is what a process may take of its instance. A field of 0 means the default.
type Instance struct {
	MemoryBytes int64
	// Sockets bounds the sockets and what else needs a descriptor.
	Sockets int
}

// limits returns the limits with defaults, and no more sockets than the kernel allows
// descriptors.
func (i Instance) limits() Instance {
	if i.MemoryBytes <= 0 {
		i.MemoryBytes = defaultMemoryBytes
	}
	if i.Sockets <= 0 {
		i.Sockets = defaultSockets
	}
	var kernel syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernel); err == nil && kernel.Cur > 0 {
		i.Sockets = int(min(uint64(i.Sockets), kernel.Cur))
	}
	return i
}

// ShareBytes returns a share, in percent, of the memory that a process does not need for itself,
// in bytes of what may be in use: the garbage collector needs as much again.
func (i Instance) ShareBytes(share int) int64 {
	const withGarbage = 2
	l := i.limits()
	return (l.MemoryBytes - l.ownBytes()) * int64(share) / 100 / withGarbage
}

// ownBytes is what the process takes beside the connections of its listeners, in bytes.
func (i Instance) ownBytes() int64 { return min(maxOwnBytes, i.MemoryBytes/2) }

// GoMemoryBytes returns the soft limit of the memory of the Go runtime, in bytes.
func (i Instance) GoMemoryBytes() int64 { return i.limits().MemoryBytes * goMemoryShare / 100 }

// maxOpenConns bounds the connections that are not being closed.
func (c Config) maxOpenConns() int { return c.MaxConns - c.MaxConns/closingShare }

// maxOpenBytes is what connections that are not being closed may take, in bytes.
func (c Config) maxOpenBytes() int64 { return c.MaxBytes - c.MaxBytes/closingShare }

// LargestBody returns the size of the largest body for which there is room, in bytes.
func (c Config) LargestBody() int64 {
	return max(c.maxOpenBytes()-ConnBytes, 0) / c.Price.BodyByte
}

// OperatorConfig returns the bounds of a listener for operators' requests, or for the
// balancer's check.
func (i Instance) OperatorConfig(name string) Config {
	conns := max(min(maxOperatorConns, i.limits().Sockets/operatorShare), 1)
	return Config{
		Name:         name,
		MaxConns:     conns,
		MaxBytes:     int64(conns) * (ConnBytes + operatorConnBytes),
		MaxHeadBytes: defaultMaxHeadBytes,
		Price:        RequestPrice(),
	}
}

// MainConfig returns the bounds of the listener that gets what others leave: a number of
// listeners for operators, and a share of the rest, in percent.
func (i Instance) MainConfig(name string, operatorListeners, share int) Config {
	l := i.limits()
	operator := i.OperatorConfig("")
	memory := l.MemoryBytes - l.ownBytes() - int64(operatorListeners)*operator.MaxBytes
	sockets := l.Sockets - min(maxOwnSockets, l.Sockets/2) - operatorListeners*operator.MaxConns
	return Config{
		Name:         name,
		MaxConns:     max(sockets*share/100, 1),
		MaxBytes:     memory * int64(share) / 100,
		MaxHeadBytes: defaultMaxHeadBytes,
		Price:        RequestPrice(),
	}
}

// MessageConfig is MainConfig for a listener of links.
func (i Instance) MessageConfig(name string, operatorListeners, share int) Config {
	cfg := i.MainConfig(name, operatorListeners, share)
	cfg.MaxHeadBytes = nil
	cfg.Price = MessagePrice()
	return cfg
}

func defaultMaxHeadBytes() int64 { return DefaultMaxHeadBytes }
