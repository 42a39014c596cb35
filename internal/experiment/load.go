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

// DetectFileKind returns the kind of a TOML file as FileKind does. The error names the place of a syntax error.
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

// anyKeys accepts all keys. Decoding into it finds the place of a syntax error.
type anyKeys map[string]any

// Check returns nil, as all keys are valid.
func (*anyKeys) Check() error { return nil }

// RunLoad sends the planned requests of a scenario to agents that already run. It cannot see their nodes, and so does not check that
// responses were produced by a node or which requests the nodes executed.
func RunLoad(ctx context.Context, spec *LoadSpec) (Outcome, error) {
	scenario, err := spec.Scenario.Draw(spec.Seed)
	if err != nil {
		return Outcome{}, err
	}
	dial := (&emulator.LoopbackNetwork{}).Dialer("")
	clients := make([]*callers.Client, len(spec.Targets))
	for i, target := range spec.Targets {
		if _, _, err := net.SplitHostPort(target); err != nil {
			return Outcome{}, fmt.Errorf("targets: %q is not host:port: %w", target, err)
		}
		clients[i] = &callers.Client{Addr: target, Dial: dial}
		defer clients[i].Close()
	}
	ref := referee.New(referee.DefaultRules())
	ref.TrustResponses()
	route := func(p callers.PlannedRequest, _ []string) (string, *callers.Client, func(referee.Outcome)) {
		return spec.Targets[p.Agent], clients[p.Agent], func(referee.Outcome) {}
	}
	calls, figures := callers.Run(ctx, callers.Config{Plan: scenario.Plan, Classes: scenario.Classes, Tenants: scenario.Tenants, ClientProfileAt: scenario.ClientProfileAt, Route: route,
		Referee: ref, Epoch: time.Now(), ResponseBytes: scenario.Spec.ResponseBytes, RequestBytes: scenario.Spec.RequestBytes, SlowFraction: scenario.Spec.Clients.SlowFraction, IDPrefix: uint64(time.Now().UnixNano())})
	record := runRecord{scenario: scenario, calls: calls, figures: figures, account: ref.Account(), violations: ref.Violations()}
	outcome := record.outcome("load", false)
	outcome.Interrupted = ctx.Err() != nil
	return outcome, nil
}
