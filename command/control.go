package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
)

func newControl() *cobra.Command {
	cmd := &cobra.Command{Use: "control", Short: "Change the group of control replicas, one change at a time", Args: cobra.ArbitraryArgs, RunE: showHelp}
	cmd.AddCommand(
		newMember(boragewick.MemberAdd, "Add a replica with an empty disk as a learner"),
		newMember(boragewick.MemberPromote, "Let a learner that has caught up vote"),
		newMember(boragewick.MemberRemove, "Take a replica out of the group"),
	)
	return cmd
}

func newMember(action boragewick.MemberAction, short string) *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   string(action) + " REPLICA",
		Short: short,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			reply, err := c.ChangeMembership(cmd.Context(), action, args[0])
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), reply, func(w io.Writer) {
				fmt.Fprintf(w, "voters %v, learners %v\n", reply.Voters, reply.Learners)
			})
		},
	}
	f.add(cmd)
	return cmd
}
