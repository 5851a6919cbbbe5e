package controller

import (
	"testing"

	"github.com/matryer/is"

	v1 "github.com/driftstage/driftstage/api/v1"
)

func objectAt(version string) *v1.QueryServiceObject {
	return &v1.QueryServiceObject{Metadata: v1.ObjectMeta{Name: "fleet", ResourceVersion: version}}
}

// The reply to a write may be read after the watch has reported the deletion. It
// must not restore the object, or the deletion would never be noticed.
func TestLateReplyDoesNotUndoDeletion(t *testing.T) {
	is := is.New(t)
	cache := newCache()
	cache.put(objectAt("5"))
	cache.delete(objectAt("6"))
	cache.put(objectAt("4"))
	is.True(cache.get("fleet") == nil)
	cache.put(objectAt("7"))
	is.Equal(cache.get("fleet").Metadata.ResourceVersion, "7")
}

func TestNonNumericVersionsAreKept(t *testing.T) {
	is := is.New(t)
	cache := newCache()
	cache.put(objectAt("first"))
	cache.delete(objectAt("second"))
	cache.put(objectAt("third"))
	is.Equal(cache.get("fleet").Metadata.ResourceVersion, "third")
}

// A reconciliation that read the object just before the watch reported its deletion must
// not undo the deletion; an object that was created again does.
func TestObjectReadBeforeDeletionIsDeleted(t *testing.T) {
	is := is.New(t)
	cache := newCache()
	cached := objectAt("5")
	cache.put(cached)
	is.True(!cache.deletedSince(cached))
	cache.delete(objectAt("6"))
	is.True(cache.deletedSince(cached))
	is.True(!cache.deletedSince(objectAt("7")))
}
