package routerprogram

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/router"
)

const (
	// pathAdminAddress is where a router tells its admin address on the port for peers. In a large fleet digests, which
	// carry the address as well, go to few routers.
	pathAdminAddress = "/admin-address"
	// addressTimeout bounds the time in which a router tells its address, maximumAddressBytes its length.
	addressTimeout      = time.Second
	maximumAddressBytes = 512
	// addressesAtOnce bounds the routers that are asked at the same time.
	addressesAtOnce = 32
)

// otherRouter is another live router.
type otherRouter struct {
	name        string
	incarnation uint64
	// peers is the address for other processes, admin that of the admin API; empty while it is not known.
	peers, admin string
}

// othersOf lists the other routers that are not known to be dead.
func othersOf(_ time.Time, c *router.Core) []otherRouter {
	live := lo.Filter(c.Members(), func(member membership.Member, _ int) bool {
		return member.State != membership.StateDead && member.Name != c.Self().GetName()
	})
	return lo.Map(live, func(member membership.Member, _ int) otherRouter {
		return otherRouter{name: member.Name, incarnation: member.Incarnation, peers: member.Address, admin: c.AdminAddress(member.Name)}
	})
}

// others lists the other live routers, and asks those for their admin address that no digest told.
func (b backend) others(ctx context.Context) []otherRouter {
	return b.program.adminAddresses.complete(ctx, read(b, othersOf))
}

// adminAddresses remembers the addresses that were asked for.
type adminAddresses struct {
	mutex sync.Mutex
	known map[incarnationOf]string
}

// incarnationOf names one start of a router.
type incarnationOf struct {
	name        string
	incarnation uint64
}

// complete fills in the addresses that are missing, as far as the routers answer.
func (a *adminAddresses) complete(ctx context.Context, others []otherRouter) []otherRouter {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var asking errgroup.Group
	asking.SetLimit(addressesAtOnce)
	for index := range others {
		other := &others[index]
		if other.admin != "" {
			continue
		}
		if other.admin = a.get(*other); other.admin == "" {
			asking.Go(func() error {
				other.admin = askAdminAddress(ctx, other.peers)
				a.set(*other)
				return nil
			})
		}
	}
	_ = asking.Wait() // no function returns an error
	return others
}

func (a *adminAddresses) get(other otherRouter) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.known[incarnationOf{other.name, other.incarnation}]
}

func (a *adminAddresses) set(other otherRouter) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.known == nil {
		a.known = make(map[incarnationOf]string)
	}
	for old := range a.known {
		if old.name == other.name {
			delete(a.known, old)
		}
	}
	if other.admin != "" {
		a.known[incarnationOf{other.name, other.incarnation}] = other.admin
	}
}

// askAdminAddress asks a router on its port for peers. It returns an empty string when there is no answer.
func askAdminAddress(ctx context.Context, peers string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peers+pathAdminAddress, http.NoBody)
	if err != nil {
		return ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maximumAddressBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// serveAdminAddress tells the admin address of this router.
func (p *Program) serveAdminAddress(writer http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(writer, reachable(p.addresses.Admin, p.self().GetAddress()))
}
