package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that ends one entry after the other, although the job alone is odd.
func TestAJobThatCannotBeProcessedIsRefusedByItself(t *testing.T) {
	_, err := tryNewJob(Job{ID: "01", Steps: []Step{{Count: 1, After: []int{7}}}}, 1, time.Now(), record{})
	require.ErrorContains(t, err, "job: it cannot be processed: runtime error: index out of range [7]")
}
