package fake

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/pkg/cmdutil"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// discardOutput discards what a command prints about wrong usage.
func discardOutput(cmd *cobra.Command) *cobra.Command {
	cmd.SetOut(io.Discard)
	cmd.SetErr(io.Discard)
	return cmd
}

func TestRolloutFlags(t *testing.T) {
	cases := map[string]struct {
		args    []string
		want    RolloutOptions
		wantErr string
	}{
		"none":                 {nil, RolloutOptions{After: 3 * time.Second, For: 20 * time.Second}, ""},
		"working version":      {[]string{"--rollout", "v2"}, RolloutOptions{Version: "v2", After: 3 * time.Second, For: 20 * time.Second}, ""},
		"failing version":      {[]string{"--rollout", "v2", "--rollout-bad", "late", "--rollout-after", "1s", "--rollout-for", "9s"}, RolloutOptions{Version: "v2", Bad: "late", After: time.Second, For: 9 * time.Second}, ""},
		"unknown failure mode": {[]string{"--rollout", "v2", "--rollout-bad", "loud"}, RolloutOptions{}, "want one of errors, late, load, path, slow"},
		"same version":         {[]string{"--rollout", "v1"}, RolloutOptions{}, "want another version"},
		"zero duration":        {[]string{"--rollout", "v2", "--rollout-for", "0s"}, RolloutOptions{}, "want no time below zero, and one above"},
		"negative delay":       {[]string{"--rollout", "v2", "--rollout-after", "-1s"}, RolloutOptions{}, "want no time below zero, and one above"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := cmdutil.NewFactory()
			f.IOStreams, _, _ = iostreams.Test()
			var got *FakeOptions
			cmd := discardOutput(NewCmdFake(f, func(opts *FakeOptions) error {
				got = opts
				return opts.Rollout.validate()
			}))
			cmd.SetArgs(append([]string{"platform"}, tc.args...))
			err := cmd.Execute()
			if tc.wantErr != "" {
				is.True(err != nil && strings.Contains(err.Error(), tc.wantErr))
				is.Equal(fault.KindOf(err), fault.BadRequest)
				return
			}
			is.NoErr(err)
			is.Equal(got.Rollout, tc.want)
		})
	}
}
