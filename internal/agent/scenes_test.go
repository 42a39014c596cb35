package agent_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/agent"
	"ryeweir/internal/config"
	"ryeweir/internal/world"
	"ryeweir/internal/world/callers"
	"ryeweir/internal/world/link"
	"ryeweir/internal/world/node"
	"ryeweir/internal/world/referee"
)

// Scenes play the whole real agent in a world in memory and in fake time: sockets, discovery, nodes and callers behave as
// the emulator has it, and minutes pass in a moment.

// stage is a world with its agents, as a scene sees it.
type stage struct {
	*world.World
	t       *testing.T
	network *link.Network
	addrs   []string
	clients []*callers.Client
	stop    []context.CancelFunc
	ended   []chan error
	calls   []referee.Call
}

// scene is a day with something to do beside it and what must have come of it.
type scene struct {
	day     func(*world.DaySpec)
	during  func(*stage)             // beside the callers; may be nil
	service float64                  // the least
	verify  func(*testing.T, *stage) // beyond the rules; may be nil
	limits  func(*world.Limits)      // may be nil
}

func usualDay() world.DaySpec {
	d := world.DefaultDay()
	d.Load, d.Length = 0.35, config.Duration(12*time.Second)
	for i := range d.Kinds {
		d.Kinds[i].Nodes = 2 + i
	}
	return d
}

func sec(x float64) config.Duration { return config.Duration(x * float64(time.Second)) }

// play plays a scene. The rules must hold in each, and every request must have exactly one end.
func (sc scene) play(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := usualDay()
		if sc.day != nil {
			sc.day(&spec)
		}
		if err := spec.Check(""); err != nil {
			t.Fatal(err)
		}
		day, err := spec.Draw(7)
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork(7)
		ctx := t.Context()
		w, err := world.Start(ctx, day, world.Memory{Network: network}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		s := &stage{World: w, t: t, network: network}
		limits := world.DefaultLimits()
		if sc.limits != nil {
			sc.limits(&limits)
		}
		for i := range day.Agents {
			s.start(i, limits)
		}
		for i := range day.Agents {
			s.ready(i)
		}
		w.Play()
		done := make(chan struct{})
		go func() {
			defer close(done)
			if sc.during != nil {
				sc.during(s)
			}
		}()
		s.calls, _ = w.Call(ctx, s.route, false, nil)
		<-done
		for _, c := range s.clients {
			c.Close()
		}
		for i, stop := range s.stop {
			stop()
			if err := <-s.ended[i]; err != nil {
				t.Errorf("agent %d: %v", i, err)
			}
		}
		s.judge(sc)
	})
}

func (s *stage) judge(sc scene) {
	a := s.Referee.Account()
	for _, b := range s.Referee.Breaches() {
		s.t.Error(b)
	}
	if !a.Held() || !a.Balanced() || a.Strangers > 0 || s.Err() != nil {
		s.t.Errorf("the account %+v, %v", a, s.Err())
	}
	service := referee.Serve(s.calls, time.Second, len(s.Day.Classes), len(s.Day.Tenants))
	s.t.Logf("service %.3f worst %.3f classes %.3f of %d calls; %+v", service.Whole, service.WorstWindow, service.ByClass, len(s.calls), a)
	if service.Whole < sc.service {
		s.t.Errorf("service is %.3f, under %.3f", service.Whole, sc.service)
	}
	if sc.verify != nil {
		sc.verify(s.t, s)
	}
}

// start starts an agent's process.
func (s *stage) start(i int, limits world.Limits) {
	name := s.Day.Agents[i]
	l, err := s.network.Listen(name + ":8081")
	if err != nil {
		s.t.Fatal(err)
	}
	control, err := s.network.Listen(name + ":9000")
	if err != nil {
		s.t.Fatal(err)
	}
	known := s.Known(i)
	text, err := s.Day.AgentConfig(i, "127.0.0.1:8081", "127.0.0.1:9000", s.Discovery(i), limits, &known)
	if err != nil {
		s.t.Fatal(err)
	}
	cfg, err := agent.CheckConfig("config.json", text)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("SCENE_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	go func() {
		ended <- agent.Run(ctx, cfg, agent.Reloads{}, agent.Sockets{Clients: l, Control: control, Dial: s.network.Dialer(name)}, log)
	}()
	if i == len(s.addrs) {
		s.addrs, s.stop, s.ended = append(s.addrs, ""), append(s.stop, nil), append(s.ended, nil)
		s.clients = append(s.clients, &callers.Client{Addr: name + ":8081", Dial: s.network.Dialer("app-" + name)})
	}
	s.addrs[i], s.stop[i], s.ended[i] = name+":8081", stop, ended
}

// get makes a call to an agent and returns the status, or 0.
func (s *stage) get(addr, path string) int {
	client := http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("operator"), DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// ready waits until an agent takes clients.
func (s *stage) ready(i int) {
	for range 1000 {
		if s.get(s.addrs[i], "/ready") == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("agent %d is not ready in 20 s", i)
}

func (s *stage) route(p callers.Planned, _ []string) (string, *callers.Client, func(referee.End)) {
	return s.Day.Agents[p.Agent], s.clients[p.Agent], func(referee.End) {}
}

func trouble(kind node.Kind, nodes int, from, to, size float64) world.TroubleSpec {
	return world.TroubleSpec{Kind: string(kind), Nodes: nodes, From: sec(from), To: sec(to), Size: size}
}

func TestSceneQuiet(t *testing.T) { scene{service: 0.97}.play(t) }
