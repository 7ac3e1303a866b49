package cmd

import (
	"fmt"
	"net"
	"time"

	"burdocklink/certifier"
	"burdocklink/checker"
)

var (
	certificateFolder = checker.Definition{
		Name:    "folder",
		Default: "certificates",
		Usage:   "folder to write to; an authority in it is reused",
	}
	certificateNames = checker.Definition{
		Name:  "names",
		Usage: "names of the processes, separated by commas",
	}
	certificateIPs = checker.Definition{
		Name:    "ips",
		Default: "127.0.0.1",
		Usage:   "IP addresses at which callers reach the processes, separated by commas",
	}
)

func certificateCommand() command {
	return command{
		name:  "certificate",
		usage: "create certificates for development",
		children: []command{
			{
				name:     "new",
				usage:    "create an authority, and a certificate for each name",
				settings: []checker.Definition{certificateFolder, certificateNames, certificateIPs},
				run:      newCertificates,
			},
		},
	}
}

func newCertificates(call *invocation) error {
	folder := call.settings.Required(certificateFolder.Name)
	names := call.settings.List(certificateNames.Name)
	if len(names) == 0 {
		call.settings.AddFault(certificateNames.Name, "must list one or more names")
	}
	var addresses []net.IP
	for _, text := range call.settings.List(certificateIPs.Name) {
		address := net.ParseIP(text)
		if address == nil {
			call.settings.AddFault(certificateIPs.Name, "is not an IP address: "+text)
		}
		addresses = append(addresses, address)
	}
	if err := call.settings.Err(); err != nil {
		return err
	}
	if err := certifier.WriteCertificates(folder, names, addresses, time.Now()); err != nil {
		return err
	}
	_, err := fmt.Fprintln(call.out, "made in "+folder)
	return err
}
