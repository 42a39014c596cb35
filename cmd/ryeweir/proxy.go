package main

import (
	"net"

	"github.com/spf13/cobra"

	"ryeweir/internal/experiment"
)

// proxyCommand returns the command that runs a plain reverse proxy, with which load --compare compares the agent.
func proxyCommand() *cobra.Command {
	var listen string
	var targets []string
	command := &cobra.Command{
		Use:     "proxy",
		Short:   "Run the plain reverse proxy of Go's standard library, for load --compare",
		Example: "  ryeweir proxy --listen 127.0.0.1:9001 --target 127.0.0.1:9002",
		Hidden:  true,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := interruptible(command.Context())
			defer stop()
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			return experiment.PlainProxy(ctx, listener, targets)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on for clients")
	command.Flags().StringSliceVar(&targets, "target", nil, "address of a backend; may be repeated")
	return command
}
