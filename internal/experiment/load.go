package experiment

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/referee"
)

// DetectFileKind says what a TOML file is: experiment, load, world, or nothing of ours.
func DetectFileKind(file string, data []byte) (string, error) {
	top := map[string]any{}
	if err := toml.Unmarshal(data, &top); err != nil {
		var ignored anyKeys
		if err := config.TOML(file, data, &ignored); err != nil {
			return "", err
		}
	}
	return FileKind(top), nil
}

// anyKeys takes every key, for the place of a syntax error.
type anyKeys map[string]any

// Check finds nothing wrong.
func (*anyKeys) Check() error { return nil }

// RunLoad sends a day's plan to agents that run already. Their nodes are out of sight: that an answer was made by a node, and
// what ran there, is not checked.
func RunLoad(ctx context.Context, spec *LoadSpec) (Outcome, error) {
	day, err := spec.Scenario.Draw(spec.Seed)
	if err != nil {
		return Outcome{}, err
	}
	dial := (&emulator.LoopbackNetwork{}).Dialer("")
	clients := make([]*callers.Client, len(spec.Targets))
	for i, target := range spec.Targets {
		if _, _, err := net.SplitHostPort(target); err != nil {
			return Outcome{}, fmt.Errorf("target %q: %w", target, err)
		}
		clients[i] = &callers.Client{Addr: target, Dial: dial}
		defer clients[i].Close()
	}
	ref := referee.New(referee.DefaultRules())
	ref.TrustResponses()
	route := func(p callers.PlannedRequest, _ []string) (string, *callers.Client, func(referee.Outcome)) {
		return spec.Targets[p.Agent], clients[p.Agent], func(referee.Outcome) {}
	}
	calls, figures := callers.Run(ctx, callers.Config{Plan: day.Plan, Classes: day.Classes, Tenants: day.Tenants, ClientProfileAt: day.ClientProfileAt, Route: route,
		Referee: ref, Epoch: time.Now(), ResponseBytes: day.Spec.ResponseBytes, RequestBytes: day.Spec.RequestBytes, SlowFraction: day.Spec.Clients.SlowFraction, IDPrefix: uint64(time.Now().UnixNano())})
	record := runRecord{day: day, calls: calls, figures: figures, account: ref.Account(), violations: ref.Violations()}
	outcome := record.outcome("load", false)
	outcome.Interrupted = ctx.Err() != nil
	return outcome, nil
}
