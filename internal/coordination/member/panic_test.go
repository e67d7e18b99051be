package member_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
)

// TestRunPanicsIfAPartPanics guards against a View that never changes again,
// because the loop that reads the list or sends heartbeats has panicked.
func TestRunPanicsIfAPartPanics(t *testing.T) {
	list := func(context.Context) ([]member.Instance, error) {
		return []member.Instance{{Name: "b", Kind: member.KindEntry, Domain: "d", Addr: "b"}}, nil
	}
	tests := []struct {
		name string
		cfg  member.Config
	}{
		{"list", member.Config{List: func(context.Context) ([]member.Instance, error) { panic("spoiled") }}},
		{"heartbeat", member.Config{List: list, SendHeartbeat: func(context.Context, string, member.Report) (member.Report, error) { panic("spoiled") }}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tt.cfg.Instance, tt.cfg.Domain, tt.cfg.Now, tt.cfg.Logger = "a", "d", time.Now, zerolog.Nop()
				tt.cfg.OwnReport = func(time.Time) member.Report { return member.Report{} }
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				start := time.Now()
				defer func() {
					is.True(strings.Contains(fmt.Sprint(recover()), "spoiled"))
					is.True(time.Since(start) < 2*time.Second) // long before ctx ends
				}()
				member.New(tt.cfg).Run(ctx)
				t.Error("Run returned, want the panic of its part")
			})
		})
	}
}
