package demo

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/instance"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	platformstandin "github.com/hibiscuspost/hibiscuspost/internal/standin/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
)

const (
	adminToken = "demonstration-admin-token"
	peerSecret = "demonstration-peer-secret"
)

// cluster is three instances, a stand-in platform and stand-in targets.
type cluster struct {
	platform  *platformstandin.Server
	instances []*instance.Instance
	// engines are two of version v1, followed by two of version v2.
	engines []*target.Engine
	service *target.Service
}

// startCluster starts the platform, the targets and the instances on free loopback
// ports.
func startCluster() (*cluster, error) {
	c := &cluster{}
	var err error
	if c.platform, err = platformstandin.New(platformstandin.Options{}); err != nil {
		return nil, err
	}
	if err := c.platform.Start(); err != nil {
		return nil, err
	}
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		engine := target.NewEngine(target.EngineOptions{
			Name: fmt.Sprintf("engine-%d", i+1), Version: version, Seed: uint64(i),
		})
		if err := engine.Start(); err != nil {
			return nil, err
		}
		c.engines = append(c.engines, engine)
	}
	c.service = target.NewService(target.ServiceOptions{Name: "billing-1", Version: "v1"})
	if err := c.service.Start(); err != nil {
		return nil, err
	}
	return c, c.startInstances()
}

// startInstances starts the instances, each joining the ones before it.
func (c *cluster) startInstances() error {
	const anyLoopbackPort = "127.0.0.1:0"
	var peers []string
	for i, name := range []string{"entry-1", "entry-2", "entry-3"} {
		launched, err := instance.Start(context.Background(), instance.Options{
			Settings: settings.Settings{
				Name: name, FailureDomain: fmt.Sprintf("domain-%d", i+1),
				Listen:   settings.Listen{Callers: anyLoopbackPort, Admin: anyLoopbackPort, Peers: anyLoopbackPort},
				Platform: c.platform.URL(), Peers: peers, Limits: settings.DefaultLimits(),
			},
			Secrets: settings.Secrets{AdminToken: []byte(adminToken), PeerSecret: []byte(peerSecret)},
			Logger:  zap.NewNop(),
		})
		if err != nil {
			return err
		}
		peers = append(peers, launched.PeerAddress())
		c.instances = append(c.instances, launched)
	}
	return nil
}

// close shuts the instances down and stops the stand-ins.
func (c *cluster) close(ctx context.Context) error {
	var err error
	for _, inst := range c.instances {
		err = errors.CombineErrors(err, inst.Shutdown(ctx))
	}
	for _, engine := range c.engines {
		engine.Close()
	}
	c.service.Close()
	c.platform.Close()
	return err
}
