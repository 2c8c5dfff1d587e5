package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mindTimeout bounds the wait for a process that has just been started to mind a signal.
const mindTimeout = time.Second

// awaitMinded waits until a process ignores or handles a signal, or has ended. Between its
// exec and the first instruction of its own the kernel ends any program on a hang-up.
func awaitMinded(pid int, s syscall.Signal) {
	for startedAt := time.Now(); time.Since(startedAt) < mindTimeout; time.Sleep(50 * time.Microsecond) {
		if minded, err := handlesOrIgnores(pid, s); minded || err != nil {
			return
		}
	}
}

// handlesOrIgnores reports whether a process currently ignores or handles a signal. It
// returns an error if there is no such process.
func handlesOrIgnores(pid int, s syscall.Signal) (bool, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false, err
	}
	for line := range strings.Lines(string(raw)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		bits, err := strconv.ParseUint(mask, 16, 64)
		if err == nil && bits&(1<<(s-1)) != 0 {
			return true, nil
		}
	}
	return false, nil
}

// Guards against a process that ends on a SIGHUP while it starts, before it handles the
// signal.
func TestHangupDuringStartEndsNoProcess(t *testing.T) {
	const tries = 20
	for range tries {
		// Without settings the process exits by itself, instead of being ended by a
		// signal.
		cmd := exec.Command(programPath, "serve", "agent")
		require.NoError(t, cmd.Start())
		awaitMinded(cmd.Process.Pid, syscall.SIGHUP)
		_ = cmd.Process.Signal(syscall.SIGHUP)
		_ = cmd.Wait()
		require.True(t, cmd.ProcessState.Exited(), "%s", cmd.ProcessState)
	}
}
