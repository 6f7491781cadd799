package commander

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
)

// certificateYears is the validity of issued certificates.
const certificateYears = 2

func addKeys(a *app) {
	keys := a.Command("keys", "Create key material for a deployment.")
	folder := keys.Flag("folder", "Folder of the key files.").Required().String()
	newIssuer := func(now time.Time) *issuer.Issuer {
		return &issuer.Issuer{Folder: *folder, ExpireAt: now.AddDate(certificateYears, 0, 0)}
	}
	keys.Command("init", "Create the authority and the data key.").Action(func(*kingpin.ParseContext) error {
		now := time.Now()
		return newIssuer(now).Init(now)
	})
	addDataKey(keys, newIssuer)
	issue := keys.Command("issue", "Create a certificate and its private key.")
	kind := issue.Arg("kind", "Holder of the certificate: machine, operator or service.").Required().
		Enum(string(loader.HolderMachine), string(loader.HolderOperator), string(loader.HolderService))
	name := issue.Arg("name", "Name of the holder.").Required().String()
	ips := issue.Flag("ip", "IP address that the holder listens on; may be repeated.").Strings()
	hosts := issue.Flag("host", "Host name of the holder; may be repeated.").Strings()
	renew := issue.Flag("renew", "Replace the files of an earlier certificate.").Bool()
	issue.Action(func(*kingpin.ParseContext) error {
		var addresses []netip.Addr
		for _, s := range *ips {
			ip, err := netip.ParseAddr(s)
			if err != nil {
				return usageError{fmt.Errorf("--ip %q is not an IP address", s)}
			}
			addresses = append(addresses, ip)
		}
		now := time.Now()
		certIssuer := newIssuer(now)
		certIssuer.Renew = *renew
		return certIssuer.Issue(now, loader.Holder(*kind), *name, addresses, *hosts)
	})
}

func addDataKey(keys *kingpin.CmdClause, newIssuer func(time.Time) *issuer.Issuer) {
	dataKey := keys.Command("data-key", "Rotate the data key in three steps. Between steps, copy the file to all machines and send each process SIGHUP.")
	addStep := func(name, help string, change func(*issuer.Issuer) error) {
		dataKey.Command(name, help).Action(func(*kingpin.ParseContext) error { return change(newIssuer(time.Now())) })
	}
	addStep("add", "Step 1: add a new key that only verifies.", (*issuer.Issuer).AddDataKey)
	addStep("switch", "Step 2: seal with the new key; the old one still verifies.", (*issuer.Issuer).SwitchDataKey)
	addStep("drop", "Step 3: remove all keys but the one that seals.", (*issuer.Issuer).DropDataKeys)
}
