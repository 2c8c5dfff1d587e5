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

// minds reports whether a process ignores or handles a signal by now.
func minds(pid int, s syscall.Signal) bool {
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

func TestHangupInTheMomentOfAStartEndsNoProcess(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pomeloferry")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	const tries = 20
	for range tries {
		// Without settings the process ends by itself, with an exit status.
		cmd := exec.Command(program, "serve", "agent")
		require.NoError(t, cmd.Start())
		for began := time.Now(); !minds(cmd.Process.Pid, syscall.SIGHUP) && time.Since(began) < time.Second; {
			time.Sleep(50 * time.Microsecond)
		}
		_ = cmd.Process.Signal(syscall.SIGHUP)
		_ = cmd.Wait()
		require.True(t, cmd.ProcessState.Exited(), "%s", cmd.ProcessState)
	}
}
