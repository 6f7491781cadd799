package commander

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
)

// validYears is how long issued certificates are valid.
const validYears = 2

func addKeys(a *app) {
	keys := a.Command("keys", "Create key material for a deployment.")
	folder := keys.Flag("folder", "Folder of the key files.").Required().String()
	newIssuer := func(now time.Time) *issuer.Issuer {
		return &issuer.Issuer{Folder: *folder, ExpireAt: now.AddDate(validYears, 0, 0)}
	}
	keys.Command("init", "Create the authority and the data key.").Action(func(*kingpin.ParseContext) error {
		now := time.Now()
		return newIssuer(now).Init(now)
	})
	issue := keys.Command("issue", "Create a certificate and its private key.")
	kind := issue.Arg("kind", "Holder of the certificate: machine, operator or service.").Required().
		Enum(string(loader.HolderMachine), string(loader.HolderOperator), string(loader.HolderService))
	name := issue.Arg("name", "Name of the holder.").Required().String()
	ips := issue.Flag("ip", "IP address that the holder listens on; may be repeated.").Strings()
	hosts := issue.Flag("host", "Host name of the holder; may be repeated.").Strings()
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
		return newIssuer(now).Issue(now, loader.Holder(*kind), *name, addresses, *hosts)
	})
}
