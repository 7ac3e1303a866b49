package cmd

import (
	"fmt"
	"text/tabwriter"

	"burdocklink/checker"
	"burdocklink/encoder/wire"
)

var memberDisk = checker.Definition{
	Name:  "disk",
	Usage: "identity of the member's disk, to tell apart two members of the same name",
}

func memberCommand() command {
	return command{
		name:  "member",
		usage: "list, add and remove control members",
		children: []command{
			{
				name:     "list",
				usage:    "list the control members",
				settings: operatorSettings(),
				run:      listMembers,
			},
			{
				name:      "add",
				usage:     "add a started member; it is a learner until it has caught up, then a voter",
				arguments: []string{"name", "address"},
				settings:  operatorSettings(),
				run:       func(call *invocation) error { return changeMember(call, "add") },
			},
			{
				name:      "remove",
				usage:     "remove a member permanently",
				arguments: []string{"name"},
				settings:  operatorSettings(memberDisk),
				run:       func(call *invocation) error { return changeMember(call, "remove") },
			},
		},
	}
}

func listMembers(call *invocation) error {
	operator, page, err := newStatusCall(call)
	if err != nil {
		return err
	}
	return operator.print(page.Members, func(table *tabwriter.Writer) error {
		return writeMembers(table, page)
	})
}

func changeMember(call *invocation, action string) error {
	operator, err := newOperatorCall(call)
	if err != nil {
		return err
	}
	ctx, cancel := operator.context()
	defer cancel()
	request := &wire.MemberRequest{Action: action, Member: &wire.MemberState{
		Name:    call.arguments["name"],
		Address: call.arguments["address"],
		Disk:    call.settings.Text(memberDisk.Name),
	}}
	if err := operator.client.ChangeMember(ctx, request); err != nil {
		return err
	}
	_, err = fmt.Fprintln(call.out, "done")
	return err
}
