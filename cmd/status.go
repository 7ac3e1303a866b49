package cmd

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"burdocklink/encoder"
)

func statusCommand() command {
	return command{
		name:     "status",
		usage:    "show members, entries, upstreams, orders and classes",
		settings: operatorSettings(),
		run:      printStatus,
	}
}

func printStatus(call *invocation) error {
	operator, page, err := newStatusCall(call)
	if err != nil {
		return err
	}
	return operator.print(page, func(table *tabwriter.Writer) error {
		return writeStatus(table, page)
	})
}

func writeStatus(table *tabwriter.Writer, page encoder.StatusPage) error {
	parts := []func(*tabwriter.Writer, encoder.StatusPage) error{
		writeSummary,
		writeMembers,
		writeEntries,
		writeUpstreams,
		writeOrders,
	}
	for _, write := range parts {
		if err := write(table, page); err != nil {
			return err
		}
	}
	return writeClasses(table, page.Classes)
}

func writeSummary(table *tabwriter.Writer, page encoder.StatusPage) error {
	_, err := fmt.Fprintf(table, "revision %d, term %d, leader %s, moves %d\n\n",
		page.Revision, page.Term, orDash(page.Leader), page.Moves)
	return err
}

func writeMembers(table *tabwriter.Writer, page encoder.StatusPage) error {
	_, err := fmt.Fprintln(table, "MEMBER\tROLE\tADDRESS\tDISK")
	for _, member := range page.Members {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", member.Name, member.Role, member.Address, orDash(member.Disk))
	}
	return endTable(table, err)
}

func writeEntries(table *tabwriter.Writer, page encoder.StatusPage) error {
	_, err := fmt.Fprintln(table, "ENTRY\tZONE\tREVISION\tIN FORCE\tSILENT MS")
	for _, entry := range page.Entries {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%d\n",
			entry.Name, entry.AvailabilityZone, entry.Revision, entry.InForce, entry.SilentMs)
	}
	return endTable(table, err)
}

func writeUpstreams(table *tabwriter.Writer, page encoder.StatusPage) error {
	_, err := fmt.Fprintln(table, "UPSTREAM\tZONE\tSERVICE\tSTATE\tHELD BYTES\tMEMORY BYTES\tMODELS\tADAPTERS")
	for _, upstream := range page.Upstreams {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d\n",
			upstream.Name, upstream.AvailabilityZone, upstream.Service, upstream.State,
			upstream.HeldBytes, upstream.MemoryBytes,
			orDash(strings.Join(upstream.Models, ",")), len(upstream.Adapters))
	}
	return endTable(table, err)
}

func writeOrders(table *tabwriter.Writer, page encoder.StatusPage) error {
	_, err := fmt.Fprintln(table, "ORDER\tUPSTREAM\tWORK")
	for _, order := range page.Orders {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(table, "%d\t%s\t%s\n", order.ID, order.Upstream, order.Work)
	}
	return endTable(table, err)
}

// endTable writes the empty line after a table, unless writing the table failed.
func endTable(table *tabwriter.Writer, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(table)
	return err
}
