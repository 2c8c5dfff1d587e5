package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handlesOrIgnores reports whether a process currently ignores or handles a signal.
func handlesOrIgnores(pid int, s syscall.Signal) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(raw)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		bits, err := strconv.ParseUint(mask, 16, 64)
		if err == nil && bits&(1<<(s-1)) != 0 {
			return true
		}
	}
	return false
}

// Guards against a process that ends on a SIGHUP while it starts, before it handles the
// signal.
func TestHangupDuringStartEndsNoProcess(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pomeloferry")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	const tries = 20
	for range tries {
		// Without settings the process exits by itself, instead of being ended by a
		// signal.
		cmd := exec.Command(program, "serve", "agent")
		require.NoError(t, cmd.Start())
		for startedAt := time.Now(); !handlesOrIgnores(cmd.Process.Pid, syscall.SIGHUP) && time.Since(startedAt) < time.Second; {
			time.Sleep(50 * time.Microsecond)
		}
		_ = cmd.Process.Signal(syscall.SIGHUP)
		_ = cmd.Wait()
		require.True(t, cmd.ProcessState.Exited(), "%s", cmd.ProcessState)
	}
}
