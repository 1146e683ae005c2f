package scale

import (
	"fmt"
	"os"
	"path/filepath"

	"damsonkeel/internal/config"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/siteconfig"

	"github.com/pelletier/go-toml/v2"
)

// writeSettings writes the operator settings, which all controllers share, and the settings file of
// each controller. The link function returns the address at which processes of a region reach a
// target.
func (c *controllers) writeSettings(link func(region int, target string) string) error {
	operatorFile := filepath.Join(c.dir, "operator.xml")
	text := fmt.Sprintf("<idleReturn>%v</idleReturn>", clock.Seconds(c.site.IdleReturnS))
	if c.operatorKeysPath != "" {
		text += "<operatorKeys>" + c.operatorKeysPath + "</operatorKeys>"
	}
	text = "<damsonkeel>" + text + "</damsonkeel>\n"
	if err := os.WriteFile(operatorFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write operator settings: %w", err)
	}
	c.extraArgs = []string{"--operator", operatorFile}
	for _, target := range c.all {
		b, err := toml.Marshal(c.settings(target, link))
		if err != nil {
			return fmt.Errorf("encode settings of %s: %w", target.name, err)
		}
		target.settingsPath = filepath.Join(c.dir, string(target.name)+".toml")
		if err := os.WriteFile(target.settingsPath, b, 0o600); err != nil {
			return fmt.Errorf("write settings of %s: %w", target.name, err)
		}
	}
	return nil
}

// settings returns the settings of a controller, as the platform would provide them.
func (c *controllers) settings(target *controller, link func(region int, target string) string) *config.Settings {
	s := &config.Settings{Name: target.name, Zone: c.site.ZoneName(target.zone), Listen: target.serveAddr, PeerBind: target.peerAddr}
	for _, other := range c.all {
		if other != target {
			s.Members = append(s.Members, config.Member{Name: other.name, Zone: c.site.ZoneName(other.zone), Peer: link(target.region, peerTarget(other.name))})
		}
	}
	s.Services = config.Services{State: link(target.region, stateTarget), Cloud: link(target.region, cloudTarget)}
	s.Site = siteconfig.ControllerSettings(c.site)
	return s
}
