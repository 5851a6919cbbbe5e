package endpoints

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/driftstage/driftstage/internal/catalog"
)

// Guards against requests to an evacuated zone, and against a readmitted zone without requests,
// because the registry was restored from a backup that predates the operators' changes.
func TestEvacuationsAreKeptUntilOperatorsCanRepeatThem(t *testing.T) {
	is := is.New(t)
	directory := New(testTopology(), nil)
	directory.Evacuate("lost")
	directory.Evacuate("rewritten")
	directory.Evacuate("ended")
	directory.EndEvacuation("ended", epoch)
	directory.ReplaceEvacuatedRestored([]string{"ended", "kept"}, epoch.Add(time.Second))
	is.Equal(directory.Evacuated(), []string{"kept", "lost", "rewritten"})
	is.Equal(directory.ListedEvacuated(), []string{"ended", "kept"})
	directory.SetEvacuated([]string{"ended", "kept"}, epoch.Add(2*time.Second)) // a list of the same era
	is.Equal(directory.Evacuated(), []string{"kept", "lost", "rewritten"})
	directory.Evacuate("rewritten")
	directory.DropUnlisted(epoch.Add(time.Second + catalog.OperatorRewriteTime))
	is.Equal(directory.Evacuated(), []string{"ended", "kept", "rewritten"}) // nobody has repeated the other changes
}
