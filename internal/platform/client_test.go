package platform_test

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/driftstage/driftstage/api/v1"
	"github.com/driftstage/driftstage/internal/platform"
	standin "github.com/driftstage/driftstage/internal/standin/platform"
	"github.com/driftstage/driftstage/internal/verdict"
)

// startServer runs a stand-in of the platform and returns it with a client.
func startServer(t *testing.T, options standin.Options) (*standin.Server, *platform.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewServer(options)
	go func() { _ = server.Serve(listener) }()
	client := platform.NewClient(platform.Options{Address: listener.Addr().String(), Name: "test"})
	t.Cleanup(func() {
		client.Close()
		_ = server.Stop()
	})
	return server, client
}

func newService(name string) *v1.QueryService {
	return &v1.QueryService{
		APIVersion: v1.APIVersion,
		Kind:       v1.KindQueryService,
		Metadata:   v1.ObjectMeta{Name: name},
		Spec:       v1.QueryServiceSpec{Path: "/query"},
	}
}

func TestConditionalUpdates(t *testing.T) {
	is := is.New(t)
	_, client := startServer(t, standin.Options{})
	ctx := context.Background()
	created, err := client.QueryServices.Create(ctx, newService("fleet"))
	is.NoErr(err)
	is.Equal(created.Metadata.Generation, int64(1))
	_, err = client.QueryServices.Create(ctx, newService("fleet"))
	is.True(platform.IsConflict(err))

	first, second := *created, *created
	first.Spec.Path = "/first"
	updated, err := client.QueryServices.Update(ctx, &first)
	is.NoErr(err)
	is.Equal(updated.Metadata.Generation, int64(2))
	second.Spec.Path = "/second"
	_, err = client.QueryServices.Update(ctx, &second)
	is.True(platform.IsConflict(err))
	is.Equal(verdict.Of(err), verdict.NotRun)

	updated.Status.ObservedGeneration = 2
	updated.Spec.Path = "/ignored"
	withStatus, err := client.QueryServices.UpdateStatus(ctx, updated)
	is.NoErr(err)
	is.Equal(withStatus.Spec.Path, "/first")
	is.Equal(withStatus.Metadata.Generation, int64(2))
	is.Equal(withStatus.Status.ObservedGeneration, int64(2))
}

func TestFinalizersDelayDeletion(t *testing.T) {
	is := is.New(t)
	_, client := startServer(t, standin.Options{})
	ctx := context.Background()
	service := newService("fleet")
	service.Metadata.Finalizers = []string{v1.Finalizer}
	_, err := client.QueryServices.Create(ctx, service)
	is.NoErr(err)
	is.NoErr(client.QueryServices.Delete(ctx, "fleet", ""))
	marked, err := client.QueryServices.Get(ctx, "fleet")
	is.NoErr(err)
	is.True(marked.Metadata.DeletionTimestamp != nil)
	marked.Metadata.Finalizers = nil
	_, err = client.QueryServices.Update(ctx, marked)
	is.NoErr(err)
	_, err = client.QueryServices.Get(ctx, "fleet")
	is.True(platform.IsNotFound(err))
}

func TestWatchReturnsChangesInOrder(t *testing.T) {
	is := is.New(t)
	server, client := startServer(t, standin.Options{BookmarkInterval: 10 * time.Millisecond})
	ctx := context.Background()
	listed, err := client.QueryServices.List(ctx)
	is.NoErr(err)
	watch, err := client.QueryServices.Watch(ctx, listed.Metadata.ResourceVersion)
	is.NoErr(err)
	defer watch.Close()
	created, err := client.QueryServices.Create(ctx, newService("fleet"))
	is.NoErr(err)
	_, err = client.QueryServices.UpdateStatus(ctx, created)
	is.NoErr(err)
	is.NoErr(client.QueryServices.Delete(ctx, "fleet", ""))
	for _, want := range []platform.EventType{platform.EventAdded, platform.EventModified, platform.EventDeleted} {
		is.Equal(nextChange(t, watch).Type, want)
	}
	event, err := watch.Next()
	is.NoErr(err)
	is.Equal(event.Type, platform.EventBookmark)

	server.SetFaults(standin.Faults{CutWatches: true, CompactHistory: true})
	for err == nil {
		_, err = watch.Next()
	}
	_, err = client.QueryServices.Watch(ctx, listed.Metadata.ResourceVersion)
	is.True(platform.IsGone(err))
}

func nextChange(t *testing.T, watch *platform.Watch[v1.QueryService]) platform.Event[v1.QueryService] {
	t.Helper()
	for {
		event, err := watch.Next()
		if err != nil {
			t.Fatal(err)
		}
		if event.Type != platform.EventBookmark {
			return event
		}
	}
}

func TestWatchEndsWithContext(t *testing.T) {
	is := is.New(t)
	_, client := startServer(t, standin.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	watch, err := client.QueryServices.Watch(ctx, "0")
	is.NoErr(err)
	cancel()
	for err == nil {
		_, err = watch.Next()
	}
}

// TestIdleWatchEnds checks that a watch which receives not even bookmarks fails
// after the idle time.
func TestIdleWatchEnds(t *testing.T) {
	is := is.New(t)
	server, _ := startServer(t, standin.Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	client := platform.NewClient(platform.Options{Address: listener.Addr().String(), WatchIdleTimeout: 50 * time.Millisecond})
	watch, err := client.QueryServices.Watch(context.Background(), "0")
	is.NoErr(err)
	defer watch.Close()
	server.SetFaults(standin.Faults{Hang: true})
	for err == nil {
		_, err = watch.Next()
	}
}

// TestLostReplyIsUncertain checks that a write whose reply was lost counts as
// uncertain, not as rejected: it took effect.
func TestLostReplyIsUncertain(t *testing.T) {
	is := is.New(t)
	server, client := startServer(t, standin.Options{})
	ctx := context.Background()
	server.SetFaults(standin.Faults{DropReplies: 1})
	_, err := client.QueryServices.Create(ctx, newService("fleet"))
	is.True(platform.IsUncertain(err))
	_, err = client.QueryServices.Get(ctx, "fleet")
	is.NoErr(err)
	is.Equal(server.Stats()["test"].Writes, int64(1)) // sent once
	created, err := client.QueryServices.Get(ctx, "fleet")
	is.NoErr(err)
	server.SetFaults(standin.Faults{DropReplies: 1})
	_, err = client.QueryServices.Update(ctx, created) // a PUT on a kept-alive connection
	is.True(platform.IsUncertain(err))
	is.Equal(server.Stats()["test"].Writes, int64(2)) // sent once
	server.SetFaults(standin.Faults{Refuse: true})
	_, err = client.QueryServices.Get(ctx, "fleet")
	is.True(err != nil)
}

func TestUnreachableIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	client := platform.NewClient(platform.Options{Address: listener.Addr().String()})
	_, err = client.QueryServices.Create(context.Background(), newService("fleet"))
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestMachineListLags(t *testing.T) {
	is := is.New(t)
	first := []standin.Machine{{Name: "node-1", Address: "127.0.0.1:7001", Zone: "tbilisi-a", State: standin.MachineLive}}
	server, client := startServer(t, standin.Options{Machines: first, MachineLag: time.Hour})
	server.SetMachines(nil)
	machines, err := client.Machines(context.Background())
	is.NoErr(err)
	is.Equal(len(machines), 1)
	is.Equal(machines[0].State, platform.MachineLive)
}

// TestWatchesLeakNoGoroutines checks that closed and failed watches leave no goroutines, and so
// no connections, behind.
func TestWatchesLeakNoGoroutines(t *testing.T) {
	is := is.New(t)
	server, client := startServer(t, standin.Options{BookmarkInterval: 10 * time.Millisecond})
	before := runtime.NumGoroutine()
	const watches = 50
	for range watches {
		watch, err := client.QueryServices.Watch(context.Background(), "0")
		is.NoErr(err)
		_, err = watch.Next()
		is.NoErr(err)
		watch.Close()
		_, err = watch.Next()
		is.True(err != nil)
		watch.Close() // a second call has no effect
	}
	server.SetFaults(standin.Faults{Refuse: true})
	for range watches {
		_, err := client.QueryServices.Watch(context.Background(), "0")
		is.True(err != nil)
	}
	deadline := time.Now().Add(30 * time.Second)
	for runtime.NumGoroutine() > before+watches/5 {
		if time.Now().After(deadline) {
			t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
		}
		time.Sleep(50 * time.Millisecond)
	}
}
