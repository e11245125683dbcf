package kernel

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type recorder struct {
	name     string
	log      *[]string
	startErr error
}

func (r *recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	return r.startErr
}

func (r *recorder) Close() error {
	*r.log = append(*r.log, "close "+r.name)
	return nil
}

func TestStartAndCloseOrder(t *testing.T) {
	is := is.New(t)
	var log []string
	k := New()
	is.NoErr(k.Register("a", &recorder{name: "a", log: &log}))
	is.NoErr(k.Register("b", &recorder{name: "b", log: &log}))
	is.True(k.Register("a", &recorder{}) != nil)
	is.NoErr(k.Start(t.Context()))
	is.NoErr(k.Close())
	is.NoErr(k.Close()) // a second Close does nothing
	is.Equal(log, []string{"start a", "start b", "close b", "close a"})
}

// TestFailedStart checks that a failed start closes the services started before it.
func TestFailedStart(t *testing.T) {
	is := is.New(t)
	var log []string
	k := New()
	is.NoErr(k.Register("a", &recorder{name: "a", log: &log}))
	is.NoErr(k.Register("b", &recorder{name: "b", log: &log, startErr: errors.New("no")}))
	is.NoErr(k.Register("c", &recorder{name: "c", log: &log}))
	is.True(k.Start(t.Context()) != nil)
	is.Equal(log, []string{"start a", "start b", "close a"})
}

func TestFind(t *testing.T) {
	is := is.New(t)
	k := New()
	is.NoErr(k.Register("a", &recorder{name: "a"}))
	found, err := Find[*recorder](k, "a")
	is.NoErr(err)
	is.Equal(found.name, "a")
	_, err = Find[interface{ Fly() }](k, "a")
	is.True(err != nil)
	_, err = Find[*recorder](k, "b")
	is.True(err != nil)
}
